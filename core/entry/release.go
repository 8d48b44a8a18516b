package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// releaseResendInterval is the time between sends of a PlacementRelease until it is acknowledged. After
	// releaseResendTimeout the dispatcher has stopped, or has released the reservation because this host's lists of
	// active attempts lack it.
	releaseResendInterval = 500 * time.Millisecond
	releaseResendTimeout  = 15 * time.Second
)

// releaseKey identifies a PlacementRelease; an attempt has one for its prefill and one for the rest.
type releaseKey struct {
	attempt     core.AttemptID
	prefillOnly bool
}

// pendingRelease is a PlacementRelease that the dispatcher has not acknowledged.
type pendingRelease struct {
	dispatcher dispatcherID
	release    core.PlacementRelease
	resendAt   time.Time
	expires    time.Time
}

// rejectionKey identifies the release of a placement that this host does not use.
type rejectionKey struct {
	attempt    core.AttemptID
	dispatcher core.HostID
}

// rejectGrant releases a placement that this host does not use at the dispatcher that granted it; the attempt may have another
// one. It is resent until that dispatcher acknowledges it: no list of active attempts may follow that lacks the attempt.
func (c *component) rejectGrant(t *core.Turn, from core.HostID, m core.PlacementGrant) {
	release := core.PlacementRelease{Attempt: m.Attempt, Pool: m.Pool, Unused: true}
	c.rejections[rejectionKey{attempt: m.Attempt, dispatcher: from}] = &pendingRelease{
		dispatcher: dispatcherID{host: from}, release: release,
		resendAt: t.Now.Add(releaseResendInterval), expires: t.Now.Add(releaseResendTimeout),
	}
	t.Send(from, release)
}

// sendRelease releases an attempt's placement, or only its prefill part, at all dispatchers that know the attempt.
// Resends go only to the current dispatcher.
func (c *component) sendRelease(t *core.Turn, r *request, release core.PlacementRelease) {
	release.Attempt, release.Pool = r.attemptID(), r.pool
	c.releases[releaseKey{attempt: release.Attempt, prefillOnly: release.PrefillOnly}] = &pendingRelease{
		dispatcher: r.dispatcher, release: release, resendAt: t.Now.Add(releaseResendInterval), expires: t.Now.Add(releaseResendTimeout),
	}
	t.Send(r.dispatcher.host, release)
	for _, h := range r.otherDispatchers {
		t.Send(h, release)
	}
}

// dispatchersChanged moves each request and unacknowledged release to its pool's new dispatcher. Requests without a
// placement ask the new dispatcher for one; running attempts are claimed there.
func (c *component) dispatchersChanged(t *core.Turn) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.stage < stagePlacement || c.requestDispatcher(r) == r.dispatcher {
			continue
		}
		if r.plainService && r.isRunning() && c.dispatchers.IsMixed() {
			// The call is short, and its release goes to the host that placed it.
			continue
		}
		if r.stage == stagePlacement {
			c.sendPlacementRequest(t, r)
			continue
		}
		r.dispatcher = c.requestDispatcher(r)
		c.sendClaim(t, r)
	}
	for _, k := range sortedReleases(c.releases) {
		pending := c.releases[k]
		if current := c.poolDispatcher(pending.release.Pool, false); current != pending.dispatcher {
			pending.dispatcher = current
			t.Send(current.host, pending.release)
		}
	}
}

// sendClaim sends the request's dispatcher a claim for the running attempt, if there is one.
func (c *component) sendClaim(t *core.Turn, r *request) {
	if r.isRunning() {
		t.Send(r.dispatcher.host, r.claim())
	}
}

// sendClaims sends a host that takes over a pool the claims of this host's running attempts. Their releases go to both
// that host and the previous dispatcher, since both may dispatch the pool for a while.
func (c *component) sendClaims(t *core.Turn, to core.HostID, pool core.PoolID) {
	out := core.PlacementClaimsResponse{Pool: pool}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.pool != pool || !r.isRunning() {
			continue
		}
		out.Claims = append(out.Claims, r.claim())
		if to != r.dispatcher.host && !slices.Contains(r.otherDispatchers, to) {
			r.otherDispatchers = append(r.otherDispatchers, to)
		}
	}
	t.Send(to, out)
}

// claimUnknownAttempts sends claims for running attempts that a dispatcher reported as unknown to the request's current
// dispatcher. Attempts that the local dispatcher placed are released there and pass to the pool's dispatcher.
func (c *component) claimUnknownAttempts(t *core.Turn, from core.HostID, attempts []core.AttemptID) {
	for _, a := range attempts {
		if r := c.requests[a.Request]; r != nil && r.attemptID() == a {
			if r.placedWhileIsolated && r.stage > stagePlacement && from != r.dispatcher.host {
				t.Send(r.dispatcher.host, core.PlacementRelease{Attempt: a, Pool: r.pool})
				r.placedWhileIsolated = false
				r.dispatcher = c.requestDispatcher(r)
			}
			c.sendClaim(t, r)
		}
	}
}

// activeAttemptsInterval is the time between two lists of active attempts to the dispatchers.
const activeAttemptsInterval = 5 * time.Second

// sendActiveAttempts sends each pool's dispatcher the list of this host's attempts in the pool. Once the list is
// empty it is resent a few times, in case a message is lost.
func (c *component) sendActiveAttempts(t *core.Turn) {
	attempts := map[core.PoolID][]core.AttemptID{}
	for pool := range c.emptyLists {
		attempts[pool] = nil
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; r.stage >= stagePlacement && r.stage != stageRecord && !(c.dispatchers.IsMixed() && r.plainService && r.dispatcher.host == c.dispatchers.LocalDispatcher().Host) {
			attempts[r.pool] = append(attempts[r.pool], r.attemptID())
		}
	}
	c.activeAttemptsAt = time.Time{}
	for _, pool := range slices.Sorted(maps.Keys(attempts)) {
		t.Send(c.poolDispatcher(pool, false).host, core.ActiveAttempts{Pool: pool, Attempts: attempts[pool]})
		c.emptyLists[pool]++
		if len(attempts[pool]) > 0 {
			c.emptyLists[pool] = 0
		}
		if c.emptyLists[pool] > maxEmptyLists {
			delete(c.emptyLists, pool)
		}
	}
	if len(c.emptyLists) > 0 {
		c.activeAttemptsAt = t.Now.Add(activeAttemptsInterval)
	}
}

// maxEmptyLists is the number of times an empty list is resent.
const maxEmptyLists = 4

func sortedReleases(m map[releaseKey]*pendingRelease) []releaseKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b releaseKey) int {
		if c := a.attempt.Compare(b.attempt); c != 0 {
			return c
		}
		if a.prefillOnly == b.prefillOnly {
			return 0
		}
		if a.prefillOnly {
			return -1
		}
		return 1
	})
}

// schedule sets the request's timer for its current stage, or removes it if nothing limits the stage or the traffic
// goroutines enforce its limit.
func (c *component) schedule(r *request) {
	switch r.stage {
	case stageOrigin, stageQuota:
		r.dueAt = core.Earlier(r.Deadline, c.latestStart(r))
	case stageIdempotency:
		r.dueAt = c.latestStart(r)
	case stagePlacement:
		r.dueAt = core.Earlier(core.Earlier(r.Deadline, r.resendAt), c.latestStart(r))
		if r.kv != nil {
			r.dueAt = core.Earlier(r.dueAt, r.kv.expires)
		}
	case stagePrefill, stageDecode, stageCall:
		r.dueAt = c.shutdown.endsAt
		if r.route.EndToEndTimeout {
			r.dueAt = core.Earlier(r.dueAt, r.Deadline)
		}
	default:
		r.dueAt = c.shutdown.endsAt
	}
	if r.dueAt.IsZero() {
		c.timers.Remove(r)
		return
	}
	c.timers.Fix(r)
}

func dueEarlier(a, b *request) bool {
	if !a.dueAt.Equal(b.dueAt) {
		return a.dueAt.Before(b.dueAt)
	}
	return a.ID < b.ID
}

// timerFired refuses or aborts a request whose time is over. Otherwise it resends the request's placement request or
// bypasses a dispatcher that did not respond in time.
func (c *component) timerFired(t *core.Turn, r *request) {
	if r.stage == stageConfig {
		c.refuseAwaitingConfig(t, r, noConfigFailure())
		return
	}
	if r.stage > stagePlacement {
		c.stopRunning(t, r)
		return
	}
	if core.Due(r.Deadline, t.Now) {
		f := core.Fail(core.KindDeadlineExceeded, "the deadline passed before the request could start")
		f.NotExecuted = !r.mayHaveRun
		c.cancelWaiting(t, r, f)
		return
	}
	if core.Due(c.latestStart(r), t.Now) {
		c.refuseTooLate(t, r)
		return
	}
	if r.kv != nil && core.Due(r.kv.expires, t.Now) {
		c.placeWithoutKV(t, r)
		return
	}
	if r.stage != stagePlacement || !core.Due(r.resendAt, t.Now) {
		// The latest start has moved, since durations were measured after the timer was set.
		c.schedule(r)
		return
	}
	if c.mayBypassDispatcher(r) && !r.queued {
		c.bypassDispatcher(t, r)
		return
	}
	c.sendPlacementRequest(t, r)
}

func (c *component) tick(t *core.Turn) {
	if core.Due(c.activeAttemptsAt, t.Now) {
		c.sendActiveAttempts(t)
	}
	for c.timers.Len() > 0 && core.Due(c.timers.Min().dueAt, t.Now) {
		c.timerFired(t, c.timers.Min())
	}
	for _, k := range sortedReleases(c.releases) {
		if !c.releases[k].resend(t) {
			delete(c.releases, k)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(c.rejections), compareRejections) {
		if !c.rejections[k].resend(t) {
			delete(c.rejections, k)
		}
	}
}

func compareRejections(a, b rejectionKey) int {
	return cmp.Or(a.attempt.Compare(b.attempt), cmp.Compare(a.dispatcher, b.dispatcher))
}

// resend sends the release again if it is due; it returns false once it is given up.
func (p *pendingRelease) resend(t *core.Turn) bool {
	if core.Due(p.expires, t.Now) {
		return false
	}
	if core.Due(p.resendAt, t.Now) {
		p.resendAt = t.Now.Add(releaseResendInterval)
		t.Send(p.dispatcher.host, p.release)
	}
	return true
}

func (c *component) nextDeadline() time.Time {
	next := c.activeAttemptsAt
	if c.timers.Len() > 0 {
		next = core.Earlier(next, c.timers.Min().dueAt)
	}
	for _, pending := range c.releases {
		next = core.Earlier(next, core.Earlier(pending.resendAt, pending.expires))
	}
	for _, pending := range c.rejections {
		next = core.Earlier(next, core.Earlier(pending.resendAt, pending.expires))
	}
	return next
}
