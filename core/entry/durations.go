package entry

import (
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// durationSamples is the number of requests of a pool whose durations are kept; minDurationSamples is the number from
	// which they say how long a request takes.
	durationSamples    = 64
	minDurationSamples = 20
	// durationQuantile is the fraction of requests that take no longer than the expected duration.
	durationQuantile = 0.95
	// maxMeasuredPools limits the pools with durations; beyond it all are dropped and measured again.
	maxMeasuredPools = 1024
)

// durations holds how long the last requests of a pool took, from their first attempt to the end of their response.
type durations struct {
	samples []time.Duration
	next    int
}

func (d *durations) add(sample time.Duration) {
	if len(d.samples) < durationSamples {
		d.samples = append(d.samples, sample)
		return
	}
	d.samples[d.next] = sample
	d.next = (d.next + 1) % durationSamples
}

// expected returns a duration that few requests exceed, and false if too few have been measured.
func (d *durations) expected() (time.Duration, bool) {
	if d == nil || len(d.samples) < minDurationSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.samples))
	return sorted[int(durationQuantile*float64(len(sorted)))], true
}

// recordDuration measures a request that ends now, if an attempt of it was started.
func (c *component) recordDuration(r *request, now time.Time) {
	if r.startedAt.IsZero() {
		return
	}
	d := c.durations[r.pool]
	if d == nil {
		if len(c.durations) >= maxMeasuredPools {
			c.durations = map[core.PoolID]*durations{}
		}
		d = &durations{}
		c.durations[r.pool] = d
	}
	d.add(now.Sub(r.startedAt))
}
