package dispatch

import (
	"time"

	"oleanderlever/core"
)

// An upstream that refuses most requests is idle, so that a choice by load prefers it to those that work. One that has refused
// a request gets no further one for a while, then a single trial; an upstream that says how long to stay away is left alone
// for that time.
const (
	minRefusalBackoff = 100 * time.Millisecond
	maxRefusalBackoff = 4 * time.Second
	// trialTime is how long a trial may take; one that was not refused by then has succeeded.
	trialTime = 200 * time.Millisecond
	// refusalWeight is the weight of the newest request in the ratio of refusals.
	refusalWeight = 0.3
	// sheddingRatio is the ratio of refusals from which an upstream is believed to turn work away.
	sheddingRatio = 0.4
)

// refusals is what is believed of an upstream because of the requests that it refused.
type refusals struct {
	// ratio is a moving average of the refused requests.
	ratio   float64
	backoff time.Duration
	// until is when the upstream gets the next request; inTrial is true once that has been placed, and until is its end.
	until   time.Time
	inTrial bool
	// backedOffAt is when the last back-off began.
	backedOffAt time.Time
	// statedUntil is the time until which the upstream said that it wants no request.
	statedUntil time.Time
}

// allow reports whether the upstream may get a request now.
func (r *refusals) allow(now time.Time) bool {
	return !now.Before(r.until) && !now.Before(r.statedUntil)
}

// isShedding reports whether an upstream refuses most requests.
func (r *refusals) isShedding() bool { return r.ratio >= sheddingRatio }

// record counts a refused request and reports whether it changes the back-off. retryAfter is how long the upstream wants no other one,
// or zero. A single decode with a KV cache may have been refused since the cache is gone, and is no reason for a back-off. One that
// was placed before the last back-off began (placedBefore) tells nothing new: a full upstream refuses several at once, and a
// back-off that doubled for each would be the longest one.
func (r *refusals) record(retryAfter time.Duration, withKV, placedBefore bool, now time.Time) bool {
	r.ratio += refusalWeight * (1 - r.ratio)
	if placedBefore && retryAfter == 0 && !r.inTrial {
		return false
	}
	r.inTrial = false
	if retryAfter > 0 {
		r.statedUntil = later(r.statedUntil, now.Add(retryAfter))
		r.until = later(r.until, r.statedUntil)
		return true
	}
	if withKV && !r.isShedding() {
		return false
	}
	r.backedOffAt = now
	r.backoff = min(max(2*r.backoff, minRefusalBackoff), maxRefusalBackoff)
	r.until = later(r.until, now.Add(r.backoff))
	return true
}

// recordSuccess counts a request that was not refused.
func (r *refusals) recordSuccess() {
	r.ratio -= refusalWeight * r.ratio
	if r.inTrial {
		r.inTrial, r.until = false, time.Time{}
	}
	if !r.isShedding() {
		r.backoff = 0
	}
}

// beginTrial makes a request that is placed after a back-off the only one for trialTime, and reports whether it is a trial.
func (r *refusals) beginTrial(now time.Time) bool {
	if r.until.IsZero() || r.inTrial {
		return false
	}
	r.inTrial, r.until = true, now.Add(trialTime)
	return true
}

// endTrial ends a trial that was not refused in time.
func (r *refusals) endTrial(now time.Time) {
	if r.inTrial && !now.Before(r.until) {
		r.recordSuccess()
	}
}

// wakeOne makes the upstream whose back-off ends first usable, if the only reason that a pool has none for a request is what is
// believed of them; what they said is respected.
func (p *pool) wakeOne(request *core.PlacementRequest, now time.Time) {
	var first *upstream
	for _, u := range p.upstreams {
		if u.evacuated || !p.mayRunAt(request, u) || now.Before(u.refusals.statedUntil) || u.refusals.inTrial || !now.Before(u.refusals.until) {
			continue
		}
		if first == nil || u.refusals.until.Before(first.refusals.until) ||
			(u.refusals.until.Equal(first.refusals.until) && u.ID < first.ID) {
			first = u
		}
	}
	if first != nil {
		first.refusals.until = now
		p.refresh(first, now, p.config.Policy(p.id))
	}
}

// statedWait returns the time until an upstream of the pool wants a request again, if all that could get this one have said that
// they want none now.
func (p *pool) statedWait(request *core.PlacementRequest, now time.Time) (wait time.Duration, ok bool) {
	if p.decodeCandidates.LenIn(request.Regions) > 0 {
		return 0, false
	}
	policy := p.config.Policy(p.id)
	for _, u := range p.upstreams {
		left := u.refusals.statedUntil.Sub(now)
		switch {
		case !p.mayRunAt(request, u):
		case left <= 0 && u.isUsable(p.heartbeatReference(now), now, p.heartbeatTimeout, policy):
			return 0, false
		case left > 0 && !u.Leaving && !u.evacuated && (!ok || left < wait):
			wait, ok = left, true
		}
	}
	return wait, ok
}

// shareRefusal tells other hosts of the back-off of an upstream that refuses most calls: each of them places its own calls to a
// plain service, and would have to be refused too. Where the pool's dispatcher places the calls of all hosts, they don't need it.
func (c *component) shareRefusal(t *core.Turn, pl *pool, u *upstream) {
	remaining := u.refusals.until.Sub(t.Now)
	if !c.localPlacement || pl.engine != nil || pl.central || !u.refusals.isShedding() || remaining <= 0 {
		return
	}
	t.Post(core.ShareObservation{Observation: core.Observation{UpstreamRefusal: &core.UpstreamRefusal{
		Pool: pl.id, Upstream: u.ID, Incarnation: u.Incarnation, Backoff: u.refusals.backoff, Remaining: min(remaining, maxRefusalBackoff),
	}}})
}

// refusalHeard applies the back-off that another host has found and reports whether it is new here. The dispatcher of a pool
// learns of refusals from the calls that it places; it has more of them than hosts that placed their own. A back-off that lasts not
// much longer than the known one is not worth a message: when all upstreams are full, all hosts tell of them all the time.
func (c *component) refusalHeard(t *core.Turn, m *core.UpstreamRefusal) bool {
	u := c.findUpstream(m.Pool, m.Upstream)
	remaining := min(m.Remaining, maxRefusalBackoff)
	if u == nil || c.pools[m.Pool].isPressured(t.Now) || u.Incarnation != m.Incarnation || u.refusals.until.Sub(t.Now) >= remaining/2 {
		return false
	}
	u.refusals.ratio = max(u.refusals.ratio, sheddingRatio)
	u.refusals.backoff = min(max(u.refusals.backoff, m.Backoff), maxRefusalBackoff)
	u.refusals.until, u.refusals.inTrial = t.Now.Add(remaining), false
	c.pools[m.Pool].refresh(u, t.Now, c.config.Policy(m.Pool))
	return true
}

// recordRefusal applies the refusal that the release of a reservation reports.
func (c *component) recordRefusal(t *core.Turn, pl *pool, r *reservation, m *core.PlacementRelease) {
	u := pl.grantedUpstream(r, m.RefusedBy)
	if u == nil {
		return
	}
	// Engines refuse for lack of memory, which one request may need and another one not, so that each of their refusals counts.
	placedBefore := pl.engine == nil && !r.reservedAt.After(u.refusals.backedOffAt)
	changed := u.refusals.record(m.RetryAfter, m.WithKV, placedBefore, t.Now)
	pl.refresh(u, t.Now, c.config.Policy(pl.id))
	if changed {
		c.shareRefusal(t, pl, u)
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "refused", Reason: "the upstream refused an attempt; it gets none for " + max(0, u.refusals.until.Sub(t.Now)).String(),
		Request: m.Attempt.Request, Attempt: m.Attempt.Number, Pool: pl.id, Target: string(u.ID), Score: u.refusals.ratio,
	})
	if m.RetryAfter == 0 {
		c.callRejected(t, pl, r, u)
		if !r.claimed {
			pl.keepToSlots(u, t.Now)
		}
	}
}
