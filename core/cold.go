package core

import (
	"math"
	"strconv"
	"time"
)

const (
	// MaxColdTime is the longest time for which the upstreams of a pool count as cold after a start.
	MaxColdTime = 10 * time.Minute
	// MaxStatedColdTime is the longest time for which an upstream counts as cold because it said so. An upstream that stays
	// cold for longer says so again in its next heartbeat.
	MaxStatedColdTime = time.Minute
	// ColdGrantLife is how long after its grant a request may be sent to a cold upstream. The bound on the requests that a cold
	// upstream gets in a second includes those that were granted this long before. It is twice the time after which an entry host
	// takes a dispatcher for unresponsive, since the answer of a slow host must still count.
	ColdGrantLife = 200 * time.Millisecond
)

// ColdTimeOf returns the duration of a number of milliseconds for which an upstream says that it stays cold, at most
// MaxStatedColdTime; it returns a KindBadRequest error for anything but a finite number that is not negative.
func ColdTimeOf(millis float64) (time.Duration, error) {
	if math.IsNaN(millis) || math.IsInf(millis, 0) || millis < 0 {
		return 0, Fail(KindBadRequest, "a cold time must be a finite number of milliseconds that is not negative")
	}
	return time.Duration(min(millis, float64(MaxStatedColdTime/time.Millisecond)) * float64(time.Millisecond)), nil
}

// ParseColdTime parses a decimal number of milliseconds as ColdTimeOf does.
func ParseColdTime(text string) (time.Duration, error) {
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, Fail(KindBadRequest, "a cold time must be a number of milliseconds")
	}
	return ColdTimeOf(millis)
}

// UpstreamCold is the event that an incarnation of an upstream has said until when it is cold, if that is new.
type UpstreamCold struct {
	ID          UpstreamID
	Incarnation uint64
	Until       time.Time
}

// ColdUpstream is an upstream that is cold, as a host has heard of it.
type ColdUpstream struct {
	Pool     PoolID     `cbor:"pool"`
	Upstream UpstreamID `cbor:"id"`
	// Incarnation is zero if the host does not know it.
	Incarnation uint64 `cbor:"inc,omitempty"`
	// ColdFor is how much longer the upstream stayed cold when it said so, and Age is the time since then.
	ColdFor time.Duration `cbor:"coldFor"`
	Age     time.Duration `cbor:"age,omitempty"`
	// SinceSent is the time since the host was last granted a request to the upstream, or zero.
	SinceSent time.Duration `cbor:"sent,omitempty"`
}

func (c *ColdUpstream) validate() error {
	if err := ValidateName("cold.pool", string(c.Pool)); err != nil {
		return err
	}
	if err := ValidateName("cold.upstream", string(c.Upstream)); err != nil {
		return err
	}
	if c.ColdFor <= 0 || c.ColdFor > MaxStatedColdTime || c.Age < 0 || c.Age > maxDuration || c.SinceSent < 0 || c.SinceSent > maxDuration {
		return Fail(KindBadRequest, "cold upstream: a time is out of range")
	}
	return nil
}

// validateCold returns a KindBadRequest error if the cold rate or time of a pool is out of range.
func (p *Pool) validateCold() error {
	if p.ColdRate.Validate() != nil {
		return Fail(KindBadRequest, "pool %s: the cold rate must be 0 or %v to %v requests per second", p.ID, MinRequestRate, MaxRequestRate)
	}
	if p.ColdTime < 0 || p.ColdTime > MaxColdTime {
		return Fail(KindBadRequest, "pool %s: the cold time must be 0 to %v", p.ID, MaxColdTime)
	}
	return nil
}
