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

// MaxUpstreamRetryAfter is the longest time for which an upstream is left alone because it said so.
const MaxUpstreamRetryAfter = time.Minute

// ParseUpstreamRetryAfter parses the decimal number of seconds that an upstream wants no request, at most
// MaxUpstreamRetryAfter; it returns a KindBadRequest error for anything but a finite number that is not negative.
func ParseUpstreamRetryAfter(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, Fail(KindBadRequest, "a retry delay must be a finite number of seconds that is not negative")
	}
	return time.Duration(min(seconds, MaxUpstreamRetryAfter.Seconds()) * float64(time.Second)), nil
}

// StatementValues has the values of the headers in which an upstream says something of itself; a header that is missing has
// none.
type StatementValues struct {
	RateLimit []string
	Leaving   []string
	// ColdMillis is how much longer the upstream stays cold.
	ColdMillis []string
	// RetryAfter is used in responses that refuse a request.
	RetryAfter []string
}

// UpstreamStatement is what an upstream says of itself in a response.
type UpstreamStatement struct {
	Upstream UpstreamID
	// ReadAt is when the response's header arrived; it may be long before the event that has the statement.
	ReadAt time.Time
	// RateLimit is the rate of requests that the upstream takes from all hosts together; zero means no limit.
	RateLimit RequestRate
	// Leaving is true if the upstream takes no new requests, since it will end.
	Leaving bool
	// RetryAfter is how long the upstream wants no request from this host, or zero.
	RetryAfter time.Duration
	// ColdFor is how much longer the upstream stays cold; ColdStated is true if it says whether it is cold.
	ColdFor    time.Duration
	ColdStated bool
	// Malformed is true if a value can't be read. HasRateLimit is false if that is the one of RateLimit.
	Malformed    bool
	HasRateLimit bool
}

// leavingValue is the value with which an upstream says that it is leaving.
const leavingValue = "1"

// NewUpstreamStatement returns the statement of an upstream in a response that arrived at readAt. A value that can't be read
// counts as not sent.
func NewUpstreamStatement(id UpstreamID, readAt time.Time, values StatementValues) *UpstreamStatement {
	s := &UpstreamStatement{Upstream: id, ReadAt: readAt, HasRateLimit: true}
	if text, ok := s.single(values.RateLimit); ok {
		rate, err := ParseRequestRate(text)
		s.RateLimit, s.HasRateLimit, s.Malformed = rate, err == nil, s.Malformed || err != nil
	} else if len(values.RateLimit) > 0 {
		s.HasRateLimit = false
	}
	if text, ok := s.single(values.Leaving); ok {
		s.Leaving, s.Malformed = text == leavingValue, s.Malformed || text != leavingValue
	}
	if text, ok := s.single(values.RetryAfter); ok {
		wait, err := ParseUpstreamRetryAfter(text)
		s.RetryAfter, s.Malformed = wait, s.Malformed || err != nil
	}
	if text, ok := s.single(values.ColdMillis); ok {
		coldFor, err := ParseColdTime(text)
		s.ColdFor, s.ColdStated, s.Malformed = coldFor, err == nil, s.Malformed || err != nil
	}
	return s
}

// single returns the only value of a header, or false if there is none; several make the statement malformed.
func (s *UpstreamStatement) single(values []string) (string, bool) {
	if len(values) != 1 {
		s.Malformed = s.Malformed || len(values) > 1
		return "", false
	}
	return values[0], true
}

// UpstreamStated is the event that an upstream of a pool made a statement in a response to this host.
type UpstreamStated struct {
	Pool PoolID
	// Incarnation is the one to which the request was sent, or zero if it is not known.
	Incarnation uint64
	Statement   UpstreamStatement
}
