package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are counted in microseconds up to a minute, with two digits.
	maxLatency = time.Minute
	digits     = 2
)

// shown are the percentiles on the metrics address.
var shown = map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100}

// Latency is a histogram of spans of time, served with the other metrics.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLatency returns a histogram that the metrics address serves under a name; names must not repeat in a process.
func NewLatency(name string) *Latency {
	l := &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
	expvar.Publish(name, l)
	return l
}

// Record counts a span; one above a minute counts as a minute.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An error means that the value is out of range, which the bounds exclude.
	_ = l.hist.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// String returns the count and the percentiles in microseconds, as JSON.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{"count": l.hist.TotalCount()}
	for name, p := range shown {
		out[name] = l.hist.ValueAtPercentile(p)
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(text)
}
