package core

import (
	"math"
	"strconv"
	"time"
)

// RequestRate is a number of requests per second.
type RequestRate float64

const (
	// MinRequestRate is the lowest limit of an upstream that is respected: without any request, no response could tell that
	// the limit has ended.
	MinRequestRate RequestRate = 0.1
	// MaxRequestRate is the highest limit of an upstream.
	MaxRequestRate RequestRate = 1e6
)

// ParseRequestRate parses a decimal number of requests per second and moves it into the range from MinRequestRate to
// MaxRequestRate; it returns a KindBadRequest error for anything but a finite number that is not negative.
func ParseRequestRate(text string) (RequestRate, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, Fail(KindBadRequest, "a rate limit must be a finite number that is not negative")
	}
	return min(max(RequestRate(rate), MinRequestRate), MaxRequestRate), nil
}

// Validate returns a KindBadRequest error unless the rate is zero, for no limit, or between MinRequestRate and
// MaxRequestRate.
func (r RequestRate) Validate() error {
	if r == 0 || (r >= MinRequestRate && r <= MaxRequestRate) {
		return nil
	}
	return Fail(KindBadRequest, "rateLimit: is out of range")
}

// UpstreamStatement is what an upstream says of itself in a response.
type UpstreamStatement struct {
	Upstream UpstreamID
	// ReadAt is when the response's header arrived; it may be long before the event that has the statement.
	ReadAt time.Time
	// RateLimit is the rate of requests that the upstream takes from all hosts together; zero means no limit.
	RateLimit RequestRate
	// Malformed is true if the upstream stated something that can't be read; RateLimit is not valid then.
	Malformed bool
}

// NewUpstreamStatement returns the statement of an upstream in a response that arrived at readAt, from the values of its rate
// limit header; without a value the upstream has no limit.
func NewUpstreamStatement(id UpstreamID, readAt time.Time, rateLimits ...string) *UpstreamStatement {
	s := &UpstreamStatement{Upstream: id, ReadAt: readAt, Malformed: len(rateLimits) > 1}
	if len(rateLimits) == 1 {
		rate, err := ParseRequestRate(rateLimits[0])
		s.RateLimit, s.Malformed = rate, err != nil
	}
	return s
}

// UpstreamStated is the event that an upstream of a pool made a statement in a response to this host.
type UpstreamStated struct {
	Pool      PoolID
	Statement UpstreamStatement
}
