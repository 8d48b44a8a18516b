package host

import (
	"expvar"
	"strings"
	"sync/atomic"
)

// kindCounts counts messages by type; it is indexed by the type's number on the wire.
type kindCounts []atomic.Int64

// sentByKind and receivedByKind are served with the other metrics.
var sentByKind, receivedByKind kindCounts

func init() {
	sentByKind, receivedByKind = make(kindCounts, maxTypeNumber()+1), make(kindCounts, maxTypeNumber()+1)
	expvar.Publish("hostMessagesByKind", expvar.Func(func() any {
		return map[string]map[string]int64{"sent": sentByKind.byName(), "received": receivedByKind.byName()}
	}))
}

func maxTypeNumber() uint32 {
	highest := uint32(0)
	for _, w := range wireTypes {
		highest = max(highest, w.number)
	}
	return highest
}

func (c kindCounts) add(number uint32) { c[number].Add(1) }

// byName returns the counts that are not zero, by the name of the message type in camel case.
func (c kindCounts) byName() map[string]int64 {
	counts := map[string]int64{}
	for _, w := range wireTypes {
		if n := c[w.number].Load(); n > 0 {
			name := w.goType.Name()
			counts[strings.ToLower(name[:1])+name[1:]] = n
		}
	}
	return counts
}
