package entry

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// startAttempt starts the request's next attempt by asking for its placement.
func (c *component) startAttempt(t *core.Turn, r *request) {
	r.placedWhileIsolated = c.dispatchers.IsMixed() && c.isIsolated(t.Now)
	r.newAttempt(t.Now, c.boot, !c.placesLocally(r))
	if c.dispatchers.IsMixed() {
		r.placement.DataCentre = c.dataCentre
	}
	r.stage = stagePlacement
	c.scheduleActiveAttempts(t, r)
	c.sendPlacementRequest(t, r)
}

func (c *component) sendPlacementRequest(t *core.Turn, r *request) {
	r.dispatcher = c.requestDispatcher(r)
	r.queued = false
	// The attempt may get a placement at this dispatcher again, which a resent release would remove.
	delete(c.rejections, rejectionKey{attempt: r.attemptID(), dispatcher: r.dispatcher.host})
	r.resendAt = t.Now.Add(placementResendInterval)
	if c.mayBypassDispatcher(r) {
		r.resendAt = t.Now.Add(dispatcherTimeout)
	}
	c.schedule(r)
	r.placement.Remaining = max(0, core.Earlier(r.placementDeadline, r.Deadline).Sub(t.Now))
	r.placement.Waited = t.Now.Sub(r.arrivedAt)
	r.placement.CallerRemaining = max(0, r.Deadline.Sub(t.Now))
	r.placement.Pressure = c.centralPools[r.pool].pressure
	r.placement.LocalLoad = nil
	if r.placedWhileIsolated && (!r.plainService || c.isCentral(r.pool)) {
		r.placement.LocalLoad = c.localLoad(r.pool)
	}
	t.Send(r.dispatcher.host, r.placement)
}

// centralPool is the pool of a plain service whose dispatcher places the calls of all hosts.
type centralPool struct {
	// pressure is true if the pool is under pressure.
	pressure bool
}

func (c *component) isCentral(pool core.PoolID) bool {
	_, ok := c.centralPools[pool]
	return ok
}

// placesLocally reports whether the local dispatcher places the request: in mixed placement, if its pool is a plain
// service without rate limits and pressure, or if this host is isolated.
func (c *component) placesLocally(r *request) bool {
	return c.dispatchers.IsMixed() && (r.placedWhileIsolated || (r.plainService && !c.isCentral(r.pool)))
}

// poolPlacementChanged moves the waiting requests of a plain service to the dispatcher of its pool, or back to this host. The
// dispatcher is told of the calls that run, since they take slots.
func (c *component) poolPlacementChanged(t *core.Turn, e core.PoolPlacementChanged) {
	wasCentral := c.isCentral(e.Pool)
	delete(c.centralPools, e.Pool)
	if e.Central {
		c.centralPools[e.Pool] = centralPool{pressure: e.Pressure}
	}
	if e.Central && !wasCentral {
		c.claimRunning(t, e.Pool)
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.pool != e.Pool || r.stage != stagePlacement || c.requestDispatcher(r) == r.dispatcher {
			continue
		}
		t.Send(r.dispatcher.host, core.PlacementRelease{Attempt: r.attemptID(), Pool: r.pool})
		r.placementDeadline = later(r.placementDeadline, t.Now.Add(r.maxPlacementWait(t.Now, !c.placesLocally(r))))
		c.scheduleActiveAttempts(t, r)
		c.sendPlacementRequest(t, r)
	}
}

// claimRunning sends the dispatcher of a pool the claims of the attempts that this host has placed itself.
func (c *component) claimRunning(t *core.Turn, pool core.PoolID) {
	dispatcher := c.poolDispatcher(pool, false)
	if dispatcher.host == c.dispatchers.LocalDispatcher().Host {
		return
	}
	for _, r := range c.requests {
		if r.pool == pool && r.isRunning() {
			c.sendClaims(t, dispatcher.host, pool)
			return
		}
	}
}

// scheduleActiveAttempts schedules the lists of active attempts if another host may place the request.
func (c *component) scheduleActiveAttempts(t *core.Turn, r *request) {
	if c.placesLocally(r) {
		return
	}
	c.emptyLists[r.pool] = 0
	if c.activeAttemptsAt.IsZero() {
		c.activeAttemptsAt = t.Now.Add(activeAttemptsInterval)
	}
}

// mayBypassDispatcher reports whether the request's dispatcher is a remote one that another dispatcher can replace.
func (c *component) mayBypassDispatcher(r *request) bool {
	return c.dispatchers.IsMixed() && !c.placesLocally(r) && r.dispatcher.host != c.dispatchers.LocalDispatcher().Host
}

// bypassDispatcher asks another host for the placement because the dispatcher did not respond in time. It asks the host
// with the next highest rendezvous hash, the same on every host, so that a single dispatcher still places the pool. If
// that host does not respond either, the local dispatcher places the request.
func (c *component) bypassDispatcher(t *core.Turn, r *request) {
	t.LogDecision(core.Decision{Component: "entry", Choice: "passOver", Reason: "the dispatcher did not respond in time", Request: r.ID, Attempt: r.placement.Attempt.Number, Pool: r.pool, Target: string(r.dispatcher.host)})
	c.dispatcherBackoffUntil[r.dispatcher.host] = t.Now.Add(dispatcherBackoff)
	// A dispatcher that is merely slow would otherwise keep a reservation that nobody uses.
	t.Send(r.dispatcher.host, core.PlacementRelease{Attempt: r.attemptID(), Pool: r.pool})
	r.placedWhileIsolated = c.isIsolated(t.Now)
	c.sendPlacementRequest(t, r)
}

// isIsolated reports whether this host avoids so many dispatchers that the fault is more likely its own connection. It
// first drops the dispatchers whose back-off has ended, so that they get requests again, unless they are suspected to have failed:
// each host would delay a request by trying.
func (c *component) isIsolated(now time.Time) bool {
	avoided := 0
	for h, until := range c.dispatcherBackoffUntil {
		switch {
		case now.Before(until):
			avoided++
		case !c.isSuspect(h):
			delete(c.dispatcherBackoffUntil, h)
		}
	}
	return avoided >= isolationThreshold
}

// isSuspect reports whether a host is in the member table and suspected to have failed.
func (c *component) isSuspect(h core.HostID) bool {
	i := slices.IndexFunc(c.members, func(m core.Member) bool { return m.Host == h })
	return i >= 0 && c.members[i].State == core.MemberSuspect
}

func (c *component) isAvoided(h core.HostID) bool {
	_, ok := c.dispatcherBackoffUntil[h]
	return ok
}

// localLoad returns the load that the local dispatcher does not know: the number of entry hosts that share the pool and
// the tokens of this host's attempts that other dispatchers placed.
func (c *component) localLoad(pool core.PoolID) *core.LocalLoad {
	elsewhere := map[core.UpstreamID]core.Tokens{}
	for _, r := range c.requests {
		if r.pool == pool && !r.placedWhileIsolated && (r.stage == stagePrefill || r.stage == stageDecode) {
			elsewhere[r.grant.Decode] += r.placement.PromptTokens + r.placement.OutputTokens
		}
	}
	return &core.LocalLoad{EntryHosts: max(1, c.maxEntryHosts), PlacedElsewhere: elsewhere}
}

// placementQueued postpones the next placement request, since the dispatcher has queued the attempt.
func (c *component) placementQueued(t *core.Turn, from core.HostID, a core.AttemptID) {
	r := c.requests[a.Request]
	if r != nil && r.stage == stagePlacement && r.attemptID() == a && !r.placedWhileIsolated && from == r.dispatcher.host {
		r.queued = true
		r.resendAt = t.Now.Add(placementResendInterval)
		c.schedule(r)
	}
}

// requestDispatcher returns the dispatcher that places the request's attempt.
func (c *component) requestDispatcher(r *request) dispatcherID {
	if c.placesLocally(r) {
		m := c.dispatchers.LocalDispatcher()
		return dispatcherID{host: m.Host, boot: m.Boot}
	}
	return c.poolDispatcher(r.pool, r.plainService && !c.isCentral(r.pool))
}

// poolDispatcher returns the dispatcher of a pool. In mixed placement, avoided hosts are left out.
func (c *component) poolDispatcher(pool core.PoolID, plainService bool) dispatcherID {
	m, _ := c.dispatchers.DispatcherOf(pool, plainService, c.members)
	if c.isAvoided(m.Host) && c.dispatchers.IsMixed() {
		m, _ = c.dispatchers.DispatcherExcluding(pool, c.members, c.isAvoided)
	}
	return dispatcherID{host: m.Host, boot: m.Boot}
}

func (c *component) placementRefused(t *core.Turn, m core.PlacementRefused) {
	r := c.requests[m.Attempt.Request]
	if r == nil || r.attemptID() != m.Attempt || r.stage != stagePlacement {
		return
	}
	if m.Failure.Kind == core.KindNoUpstream && !m.Final && t.Now.Sub(r.arrivedAt) < noUpstreamGracePeriod {
		return
	}
	f := m.Failure
	f.NotExecuted = !r.mayHaveRun
	c.refuse(t, r, &f)
}
