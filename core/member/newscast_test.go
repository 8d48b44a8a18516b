package member_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// newsItem is an entry of a newscast cache: a host and when it last spoke for itself.
type newsItem struct {
	Member core.Member `cbor:"member"`
	At     time.Time   `cbor:"at"`
}

// newscast is the cache exchange of Voulgaris, Jelasity and van Steen (2003) in its simplest form, with all clocks
// right: once a period each host adds itself, swaps caches with a random host of its cache, and both keep the c
// freshest items. It is here to be measured against the member part.
type newscast struct {
	caches [][]newsItem
	self   []core.Member
	up     []bool
	rand   *rand.Rand
	now    time.Time
	bytes  int
	c      int
}

func newNewscast(n, c int, seed uint64) *newscast {
	w := &newscast{caches: make([][]newsItem, n), up: make([]bool, n), rand: rand.New(rand.NewPCG(seed, 2)), now: harness.Start, c: c}
	for i := range n {
		g := harness.HostID(i)
		w.self = append(w.self, core.Member{Host: g, Incarnation: 1, State: core.MemberAlive, DataCentre: "dc-1", Boot: 1})
		w.up[i] = true
		w.caches[i] = []newsItem{{Member: core.Member{Host: harness.HostID((i + 1) % n)}, At: w.now}}
	}
	return w
}

func (w *newscast) index(h core.HostID) int {
	return slices.IndexFunc(w.self, func(m core.Member) bool { return m.Host == h })
}

// period lets every host exchange its cache once.
func (w *newscast) period(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.caches {
		if !w.up[i] || len(w.caches[i]) == 0 {
			continue
		}
		j := w.index(w.caches[i][w.rand.IntN(len(w.caches[i]))].Member.Host)
		mine := w.merge(w.caches[i], newsItem{Member: w.self[i], At: w.now})
		w.count(mine)
		if !w.up[j] || i == j {
			continue
		}
		theirs := w.merge(w.caches[j], newsItem{Member: w.self[j], At: w.now})
		w.count(theirs)
		w.caches[i], w.caches[j] = w.merge(mine, theirs...), w.merge(theirs, mine...)
	}
}

func (w *newscast) count(items []newsItem) {
	if text, err := cbor.Marshal(items); err == nil {
		w.bytes += len(text)
	}
}

func (w *newscast) merge(a []newsItem, b ...newsItem) []newsItem {
	freshest := map[core.HostID]newsItem{}
	for _, x := range append(slices.Clone(a), b...) {
		if old, ok := freshest[x.Member.Host]; !ok || x.At.After(old.At) {
			freshest[x.Member.Host] = x
		}
	}
	var out []newsItem
	for _, x := range freshest {
		out = append(out, x)
	}
	slices.SortFunc(out, func(x, y newsItem) int {
		if c := y.At.Compare(x.At); c != 0 {
			return c
		}
		return cmp.Compare(x.Member.Host, y.Member.Host)
	})
	return out[:min(len(out), w.c)]
}

// holds reports whether any cache still has a host.
func (w *newscast) holds(h core.HostID) bool {
	for i, c := range w.caches {
		if w.up[i] && slices.ContainsFunc(c, func(x newsItem) bool { return x.Member.Host == h }) {
			return true
		}
	}
	return false
}

// BenchmarkNewscast reports the same figures as BenchmarkMember at the same period; a host counts as noticed dead when
// its last item has left every cache. A cache of 20 items does not hold a view of 40 or 340 hosts.
func BenchmarkNewscast(b *testing.B) {
	const period = 500 * time.Millisecond
	for _, n := range []int{9, 40, 340} {
		for _, c := range []int{20, n} {
			b.Run(fmt.Sprintf("hosts=%d/cache=%d", n, c), func(b *testing.B) {
				var rate, noticed float64
				for i := range b.N {
					w := newNewscast(n, c, uint64(i))
					for range 20 {
						w.period(period)
					}
					w.bytes = 0
					for range 4 {
						w.period(period)
					}
					rate += float64(w.bytes) / 2 / float64(n)
					w.up[n-1] = false
					began := w.now
					for range 60 {
						if !w.holds(harness.HostID(n - 1)) {
							break
						}
						w.period(period)
					}
					noticed += w.now.Sub(began).Seconds()
				}
				b.ReportMetric(rate/float64(b.N), "bytes/s/host")
				b.ReportMetric(noticed/float64(b.N), "s-to-notice")
			})
		}
	}
}
