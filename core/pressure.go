package core

import "time"

// PoolPressure is what a host has found of the load on the pool of a plain service; one of its times is set.
type PoolPressure struct {
	Pool PoolID `cbor:"pool"`
	// Remaining is how long the pool is under pressure unless that is renewed.
	Remaining time.Duration `cbor:"remaining,omitempty"`
	// IgnoreFor is how long late and rejected calls are no sign of pressure: the dispatcher always had free slots although hosts
	// had found pressure.
	IgnoreFor time.Duration `cbor:"ignoreFor,omitempty"`
}

// MaxPoolPressure is the longest time for which a host takes a pool to be under pressure without a renewal.
const MaxPoolPressure = 4 * time.Second

// MaxIgnoredPressure is the longest time for which late and rejected calls are no sign of pressure.
const MaxIgnoredPressure = time.Minute

func (p *PoolPressure) validate() error {
	if p.Remaining < 0 || p.Remaining > MaxPoolPressure || p.IgnoreFor < 0 || p.IgnoreFor > MaxIgnoredPressure ||
		(p.Remaining > 0) == (p.IgnoreFor > 0) {
		return Fail(KindBadRequest, "gossip: a time of the pressure is out of range")
	}
	return ValidateName("gossip.pool", string(p.Pool))
}

// PoolPlacementChanged is the event that other hosts than before place the calls to the pool of a plain service.
type PoolPlacementChanged struct {
	Pool PoolID
	// Central is true if the pool's dispatcher places the calls of all hosts, because an upstream has a rate limit or the pool is
	// under pressure. Otherwise each host places its own.
	Central bool
	// Pressure is true if the pool is under pressure.
	Pressure bool
}
