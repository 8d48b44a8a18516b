package dispatch

import (
	"math"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

const (
	// burstTime is the part of a limit that may be used at once after a pause, in addition to one request.
	burstTime = 500 * time.Millisecond
	// substituteShare is the share of a limit that a host may use which places requests instead of the pool's dispatcher,
	// while that still is a member: other hosts may still reach it.
	substituteShare = 0.25
	// localAllowanceTTL is how long a host that places its own requests may save up the requests that it does not send. Hosts
	// that take themselves for isolated now and then must not use together what each has saved.
	localAllowanceTTL = 3 * time.Second
	// maxReturnTime limits how far ahead refused callers are asked to return.
	maxReturnTime = 5 * time.Second
)

// allowance is a token bucket: how many requests may be sent to an upstream, as of filledAt.
type allowance struct {
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens for the time that has passed at a rate of requests per second.
func (a *allowance) fill(rate float64, now time.Time) {
	elapsed := max(0, now.Sub(a.filledAt))
	a.tokens = min(1+rate*burstTime.Seconds(), a.tokens+rate*elapsed.Seconds())
	a.filledAt = later(a.filledAt, now)
}

// waitFor returns how long it takes until the given number of tokens is there, if none is used meanwhile.
func (a *allowance) waitFor(tokens, rate float64) time.Duration {
	return time.Duration(math.Ceil(max(0, tokens-a.tokens) / rate * float64(time.Second)))
}

// fillAllowance returns the allowance of an upstream that a request draws on, filled up to now. Requests of this host that no
// dispatcher places have one of their own.
func (p *pool) fillAllowance(u *upstream, request *core.PlacementRequest, now time.Time) *allowance {
	if request.LocalLoad == nil {
		u.limit.shared.fill(float64(u.limit.rate)*p.limitShare, now)
		return &u.limit.shared
	}
	if now.Sub(u.limit.local.filledAt) > localAllowanceTTL {
		u.limit.local = allowance{filledAt: now}
	}
	u.limit.local.fill(float64(u.limit.rate)/float64(max(1, request.LocalLoad.EntryHosts)), now)
	return &u.limit.local
}

// allows reports whether the limit of an upstream allows n more requests now.
func (p *pool) allows(u *upstream, request *core.PlacementRequest, n int, now time.Time) bool {
	return u.limit.rate == 0 || p.fillAllowance(u, request, now).tokens >= float64(n)
}

// countRequest counts a request that is sent to an upstream now.
func (p *pool) countRequest(u *upstream, request *core.PlacementRequest, now time.Time) {
	if u.limit.rate > 0 {
		p.fillAllowance(u, request, now).tokens--
	}
}

// limitShareOf returns the share of the limits in a pool that this host may use as its dispatcher.
func (c *component) limitShareOf(id core.PoolID) float64 {
	if c.localPlacement && !c.dispatchers.IsMixed() {
		return 1 / float64(max(1, core.CountEntryHosts(c.members)))
	}
	if dispatcher, ok := c.dispatchers.DispatcherOf(id, false, c.members); ok && dispatcher.Host != c.self {
		return substituteShare
	}
	return 1
}

// nextAllowed returns when an upstream whose limit is used up, or which has a backlog of prompts without a prefill, may get a
// request again, or the zero time if there is none.
func (p *pool) nextAllowed(now time.Time) time.Time {
	var next time.Time
	if !p.limited && !p.lastBareUntil.Add(-maxBareBacklog).After(now) {
		return next
	}
	for _, u := range p.upstreams {
		if until := u.bareUntil.Add(-maxBareBacklog); until.After(now) {
			next = core.Earlier(next, until)
		}
		if rate := float64(u.limit.rate) * p.limitShare; rate > 0 && (u.decodeIndex >= 0 || u.prefillIndex >= 0) {
			u.limit.shared.fill(rate, now)
			if wait := u.limit.shared.waitFor(1, rate); wait > 0 {
				next = core.Earlier(next, now.Add(wait))
			}
		}
	}
	return next
}

// limitWait returns how long an attempt that has just arrived waits at least because all upstreams that it could use have
// limits, and the rate at which they take requests; the rate is zero if one has no limit.
func (p *pool) limitWait(item *admission.Item, now time.Time) (wait time.Duration, rate float64) {
	if !p.limited || p.decodeCandidates.Len() == 0 {
		return 0, 0
	}
	tokens, all := 0.0, true
	p.decodeCandidates.Ascend(func(u *upstream) bool {
		own := float64(u.limit.rate) * p.limitShare
		u.limit.shared.fill(own, now)
		rate += own
		tokens += u.limit.shared.tokens
		all = own > 0
		return all
	})
	if !all {
		return 0, 0
	}
	ahead := float64(p.queue.Ahead(item.Request.Account, item.Level))
	return time.Duration(max(0, ahead-tokens) / rate * float64(time.Second)), rate
}

// overloaded returns the failure of an attempt that is not placed in time. Where limits are the reason, callers are asked to
// return one after the other, at the rate at which the upstreams take requests.
func (p *pool) overloaded(item *admission.Item, now time.Time) *core.Failure {
	wait, rate := p.limitWait(item, now)
	if rate == 0 {
		return core.Fail(core.KindOverloaded, "no upstream of pool %s was free in time", p.id)
	}
	p.nextReturn = later(p.nextReturn, now.Add(wait)).Add(time.Duration(float64(time.Second) / rate))
	if p.nextReturn.Sub(now) > maxReturnTime {
		p.nextReturn = now.Add(wait)
	}
	f := core.Fail(core.KindOverloaded, "all upstreams of pool %s limit their requests per second", p.id)
	f.RetryAfter = max(time.Millisecond, p.nextReturn.Sub(now))
	return f
}
