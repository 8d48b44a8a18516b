package dispatch

import (
	"time"

	"oleanderlever/core"
)

const (
	// minCallSamples is the number of calls from which the time for which their slots are reserved is used.
	minCallSamples = 20
	// maxTransitShare limits the calls that are taken to be on their way, as a share of the slots. spareCalls keep an upstream busy
	// when more calls are on their way than on average: with 6 slots and one call on its way on average, 0.629 instead of 0.602 of
	// the value of all calls is served at 1.5 times the capacity.
	maxTransitShare = 0.25
	spareCalls      = 1
	// strictTime is how long an upstream that rejected a call gets no more calls than it has slots. settleTime is the time after
	// which the calls that hosts placed on their own have ended at the upstreams.
	strictTime = 30 * time.Second
	settleTime = time.Second
)

// slotLimit returns how many calls may be reserved at an upstream. A slot is also reserved while the grant, the request and the
// release are on their way, and the upstream has nothing to do in that time. So while the dispatcher places all calls, it places as
// many more as are on their way on average, and spareCalls that wait at the upstream for a slot. An upstream without room for
// them rejects the first one, and gets no more than its slots for strictTime.
func (p *pool) slotLimit(u *upstream) int {
	e := &p.latency
	if !p.pressured || u.Role != core.RoleService || e.callCount < minCallSamples || u.isStrict {
		return u.Slots
	}
	transit := float64(u.Slots) * min(maxTransitShare, max(0, float64(e.slotTime-e.callTime)/float64(e.slotTime)))
	return u.Slots + int(transit+0.5) + spareCalls
}

// keepToSlots records that an upstream rejected a call that was placed here, perhaps in addition to its slots. At first, it may be
// full of calls that hosts placed on their own.
func (p *pool) keepToSlots(u *upstream, now time.Time) {
	if p.pressured && now.Sub(p.pressure.beganAt) >= settleTime {
		u.isStrict, u.strictUntil = true, now.Add(strictTime)
	}
}

const (
	// A call has probably ended, and its host or its release is lost, if its upstream has ended one that was placed
	// staleCallTargets targets and staleSlotTimes mean times later.
	staleCallTargets = 2
	staleSlotTimes   = 8
)

// isStale reports whether the slot of a call is reserved although the call has probably ended.
func (p *pool) isStale(r *reservation) bool {
	u := p.upstreams[r.grant.Decode]
	if u == nil || !r.request.PlainService || r.request.Target == 0 {
		return false
	}
	return u.lastEnded.Sub(r.reservedAt) >= max(staleCallTargets*r.request.Target, staleSlotTimes*p.latency.slotTime)
}

// releaseStale releases the slots of calls that have probably ended. Hosts that crash hold some until the members know it.
func (c *component) releaseStale(t *core.Turn, pl *pool) {
	if !pl.central {
		return
	}
	for _, a := range sortedAttempts(pl.reservations) {
		if r := pl.reservations[a]; pl.isStale(r) {
			pl.release(r, t.Now)
		}
	}
}
