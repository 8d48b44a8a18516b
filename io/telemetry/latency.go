package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms have a resolution of two significant digits, from one microsecond up to maxLatency.
	maxLatency        = time.Minute
	significantDigits = 2
)

// percentiles maps the names in the exported JSON to percentiles.
var percentiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100}

// Latency is a histogram of durations that is exported through expvar.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// NewLatency returns a histogram and publishes it in expvar. It panics if the name is already published.
func NewLatency(name string) *Latency {
	l := &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	expvar.Publish(name, l)
	return l
}

// Record adds a duration. Durations above one minute count as one minute.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = l.hist.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// String returns the count and the percentiles in microseconds as JSON; it implements expvar.Var.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int64{"count": l.hist.TotalCount()}
	for name, p := range percentiles {
		out[name] = l.hist.ValueAtPercentile(p)
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(text)
}
