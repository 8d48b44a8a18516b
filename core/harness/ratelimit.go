package harness

import (
	"time"

	"oleanderlever/core"
)

// RateLimit is the limit that a fake upstream names in its responses, and the requests that it gets.
type RateLimit struct {
	// Rate is zero if the upstream has no limit.
	Rate core.RequestRate
	// StatedAt is when the first response with the limit was sent. Arrivals has the times of all requests, prefills included.
	StatedAt time.Time
	Arrivals []time.Time
}

// statement returns what the upstream says of itself in a response that it sends now.
func (l *RateLimit) statement(id core.UpstreamID, now time.Time) *core.UpstreamStatement {
	if l.StatedAt.IsZero() && l.Rate > 0 {
		l.StatedAt = now
	}
	return &core.UpstreamStatement{Upstream: id, ReadAt: now, RateLimit: l.Rate, HasRateLimit: true}
}

// MostArrivals returns the greatest number of requests in any window of the given length that begins after the given time.
func (l *RateLimit) MostArrivals(after time.Time, window time.Duration) int {
	return MostIn(l.Arrivals, after, window)
}

// MostIn returns the greatest number of times in any window of the given length that begins after the given time.
func MostIn(times []time.Time, after time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for first <= i && (times[first].Before(after) || at.Sub(times[first]) >= window) {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}
