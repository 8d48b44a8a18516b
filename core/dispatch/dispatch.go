package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

const (
	rank = 60
	// sweepInterval is how often the dispatcher checks queues, upstream heartbeats and pending cancels.
	sweepInterval = 100 * time.Millisecond
	// noUpstreamTimeout is how long a pool may have no upstream before its queued attempts are refused.
	noUpstreamTimeout = 2 * time.Second
	// onlyLeavingTimeout is the same for a pool that has only leaving upstreams, whose successors are usually starting.
	onlyLeavingTimeout = 3 * time.Second
	// cancelResendInterval is the time between sends of a cancel until the engine confirms it; after cancelTimeout it
	// is given up. An engine that has missed heartbeats for that long has usually been removed from the pool
	// (staleTimeout).
	cancelResendInterval = 500 * time.Millisecond
	cancelTimeout        = 30 * time.Second
	// maxPools is the number of pools at which announcements of further pools are ignored, since an upstream may
	// announce any pool name.
	maxPools = 1024
)

// component is the control state of the plug-in on one host.
type component struct {
	self        core.HostID
	limits      core.Limits
	epoch       core.Epoch
	leader      core.HostID
	config      *core.Config
	members     []core.Member
	dispatchers DispatcherSelector
	// localPlacement is true if every host places at least some of its own attempts (PlacementPerHost, PlacementMixed).
	localPlacement   bool
	heartbeatTimeout time.Duration
	// regions has the regions of the data centres.
	regions map[core.DataCentre]core.Region
	rand    *rand.Rand
	// hasUpstreams is the availability that was last posted to the other components.
	hasUpstreams bool
	pools        map[core.PoolID]*pool
	cancels      map[cancelKey]*pendingCancel
	// heardLists are the lists of upstreams of the hosts that upstreams announce themselves to.
	heardLists map[core.HostID]*heardList
	nextSweep  time.Time
	// nextNotice is when entry hosts are next told of queued calls.
	nextNotice time.Time
	// nextLimitList is when the known limits are next sent to another host; zero means not scheduled. forwardedLimits are the
	// limits that this host has sent to dispatchers of other pools.
	nextLimitList   time.Time
	forwardedLimits map[core.UpstreamID]core.RequestRate
	// pendingLimits are limits of upstreams that are not known yet, as other hosts have told them.
	pendingLimits map[core.UpstreamID]pendingLimit
	// forwardedCold has the ends of the cold times that this host has sent to dispatchers of other pools.
	forwardedCold map[core.UpstreamID]time.Time
	// startedAt is when the host started, maxEntryHosts the largest number of entry hosts that it or a replica has known at once.
	startedAt     time.Time
	maxEntryHosts int
	// lastTurn is when the last event was handled, catchUpUntil until when this host may not know what came while it was frozen.
	lastTurn     time.Time
	catchUpUntil time.Time
	newcomers    core.Newcomers
	// leaving has the upstreams that are known to be leaving, also those whose incarnation is not announced yet.
	leaving map[core.UpstreamID]leavingMark
	// nextAudit is when audit next runs without a change of the members.
	nextAudit time.Time
}

func init() { core.Register(Plugin()) }

// Plugin returns the dispatch plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "dispatch", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		self: env.Self, limits: env.Limits, config: &core.Config{}, dispatchers: NewDispatcherSelector(env),
		localPlacement: env.Placement != core.PlacementPerPool, heartbeatTimeout: env.UpstreamHeartbeatTimeout,
		regions: env.Regions,
		rand:    env.Rand,
		pools:   map[core.PoolID]*pool{}, cancels: map[cancelKey]*pendingCancel{},
		heardLists: map[core.HostID]*heardList{}, forwardedLimits: map[core.UpstreamID]core.RequestRate{},
		pendingLimits: map[core.UpstreamID]pendingLimit{}, forwardedCold: map[core.UpstreamID]time.Time{},
		leaving: map[core.UpstreamID]leavingMark{},
	}
	if c.heartbeatTimeout == 0 {
		c.heartbeatTimeout = defaultHeartbeatTimeout
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) nextDeadline() time.Time {
	return core.Earlier(core.Earlier(c.nextSweep, c.nextLimitList), c.nextNotice)
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	c.detectFreeze(t)
	switch e := ev.(type) {
	case core.Started:
		c.startedAt = t.Now
	case core.ConfigActivated:
		c.configActivated(t, e.Config)
	case core.LeaseLeaderChanged:
		c.epoch, c.leader = e.Epoch, e.Leader
	case core.MembersChanged:
		c.handleMembersChanged(t, e)
	case core.UpstreamAnnounced:
		c.forward(t, e.Announcement.Pool, core.UpstreamUpdate{Announcement: &e.Announcement})
	case core.UpstreamReported:
		c.forward(t, e.Report.Pool, core.UpstreamUpdate{Report: &e.Report})
	case core.FindSoleVersion:
		c.soleVersion(t, e)
	case core.UpstreamStated:
		c.upstreamStated(t, e)
	case core.CancelEnded:
		c.handleCancelEnded(e)
	case core.ObservationReceived:
		c.observationReceived(t, e.Item)
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.UpstreamUpdate:
		c.handleUpdate(t, m)
	case core.UpstreamList:
		c.handleUpstreamList(t, from, m)
	case core.PlacementRequest:
		c.handleRequest(t, from, m)
	case core.PlacementClaim:
		c.addClaim(t, from, m)
	case core.PlacementClaimsResponse:
		c.handleClaims(t, from, m)
	case core.PlacementRelease:
		c.handleRelease(t, from, m)
	case core.ActiveAttempts:
		c.handleActiveAttempts(t, from, m)
	case core.PlacementGrant:
		c.grantReceived(t, from, &m)
	case core.PlacementClaimsRequest:
		if pl := c.pools[m.Pool]; pl != nil {
			c.sendLimits(t, from, pl)
		}
	case core.UpstreamLimits:
		c.handleLimits(t, from, m)
	}
}

// forward sends an upstream's announcement or report to the pool's dispatcher. With local placement, the registry
// plug-in sends announcements to every entry host instead, and reports are not used.
func (c *component) forward(t *core.Turn, id core.PoolID, m core.UpstreamUpdate) {
	if c.localPlacement {
		return
	}
	if dispatcher, ok := c.dispatchers.DispatcherOf(id, false, c.members); ok {
		t.Send(dispatcher.Host, m)
	}
}

// pool returns the state of a pool and creates it if there is none.
func (c *component) pool(t *core.Turn, id core.PoolID) *pool {
	pl := c.pools[id]
	if pl == nil {
		pl = newPool(id, t.Now)
		pl.heartbeatTimeout, pl.relayed, pl.regions = c.heartbeatTimeout, c.localPlacement, c.regions
		pl.configure(c.config)
		pl.limitShare = c.limitShareOf(id)
		c.updateColdRates(pl, t.Now)
		c.pools[id] = pl
	}
	c.scheduleSweep(t)
	return pl
}

func (c *component) scheduleSweep(t *core.Turn) {
	if c.nextSweep.IsZero() {
		c.nextSweep = t.Now.Add(sweepInterval)
	}
}

// configActivated applies another configuration.
func (c *component) configActivated(t *core.Turn, config *core.Config) {
	previous := c.config
	c.config = config
	for _, pl := range c.sortedPools() {
		pl.configure(config)
		c.applyColdRate(t, pl)
	}
	c.applyEvacuations(t, previous)
}

func (c *component) handleUpdate(t *core.Turn, m core.UpstreamUpdate) {
	if a := m.Announcement; a != nil {
		c.handleAnnouncement(t, a, t.Now, t.Now)
	}
	if r := m.Report; r != nil {
		c.handleReport(t, r)
	}
}

// handleAnnouncement applies an announcement that was received, here or at another host, at seenAt; the first one of its incarnation
// came at firstSeen.
func (c *component) handleAnnouncement(t *core.Turn, a *core.Announcement, seenAt, firstSeen time.Time) {
	if c.pools[a.Pool] == nil && len(c.pools) >= maxPools {
		return
	}
	if a.Leaving && a.Seq > 0 {
		c.rememberLeaving(t, a.ID, a.Incarnation)
	}
	announced := *a
	announced.Leaving = a.Leaving || c.isLeaving(t, a.ID, a.Incarnation)
	if !c.replaceIncarnation(a, t.Now) {
		return
	}
	pl := c.pool(t, a.Pool)
	if pl.upstreams[a.ID] != nil || len(pl.upstreams) < c.limits.Upstreams {
		previous := pl.upstreams[a.ID]
		wasLeaving, wasColdUntil := previous != nil && previous.Leaving, pl.coldUntil(previous)
		pl.applyAnnouncement(announced, seenAt)
		u := pl.upstreams[a.ID]
		if a.Incarnation == u.Incarnation {
			u.cold.startedBy = core.Earlier(u.cold.startedBy, core.Earlier(seenAt, firstSeen))
		}
		if u != previous || u.Leaving != wasLeaving {
			t.Post(core.UpstreamLeaving{ID: u.ID, Incarnation: u.Incarnation, Leaving: u.Leaving})
		}
		if u.Leaving && !wasLeaving {
			t.LogDecision(core.Decision{Component: "dispatch", Choice: "left", Reason: "the upstream announced that it is leaving", Pool: pl.id, Target: string(u.ID)})
		}
		if c.localPlacement {
			pl.upstreams[a.ID].placementSeq = max(pl.upstreams[a.ID].placementSeq, c.rand.Uint64N(maxInitialSeq))
		}
		pl.refresh(pl.upstreams[a.ID], t.Now, c.config.Policy(pl.id))
		c.applyPendingLimit(t, a.ID)
		c.coldAnnounced(t, pl.upstreams[a.ID], wasColdUntil, pl.upstreams[a.ID] != previous)
	}
	c.checkAssignment(t, a)
	c.placeQueued(t, pl)
	c.postAvailability(t)
}

func (c *component) handleReport(t *core.Turn, r *core.LoadReport) {
	pl := c.pool(t, r.Pool)
	u := pl.incarnationOf(r.ID, r.Incarnation)
	if u == nil {
		return
	}
	u.applyReport(r, pl.cachedHashLimit())
	for _, a := range pl.orphanedAttempts(u, r, t.Now) {
		c.startCancel(t, a, u.Addr)
	}
}

// handleMembersChanged audits the pools immediately.
func (c *component) handleMembersChanged(t *core.Turn, ev core.MembersChanged) {
	c.members = ev.Members
	c.maxEntryHosts = max(c.maxEntryHosts, core.CountEntryHosts(ev.Members))
	for id, pl := range c.pools {
		pl.limitShare = c.limitShareOf(id)
		c.updateColdRates(pl, t.Now)
	}
	c.forgetLists()
	c.tellNewcomers(t)
	c.audit(t)
}

// audit cancels the attempts of hosts that have left or restarted, and gives up the pools that another host now
// dispatches: it transfers the pool or, with local placement, releases the other hosts' attempts. It runs when the
// members change and every auditInterval: a delayed request from a host with a different member table may have created
// a pool here that no member change would remove.
func (c *component) audit(t *core.Turn) {
	c.nextAudit = t.Now.Add(auditInterval)
	c.forgetLeaving(t.Now)
	for _, id := range slices.Sorted(maps.Keys(c.pools)) {
		pl := c.pools[id]
		for _, a := range sortedAttempts(pl.reservations) {
			r := pl.reservations[a]
			if c.hasHostStopped(r, t.Now) {
				c.releaseAndCancel(t, pl, r, true)
			}
		}
		c.placeQueued(t, pl)
		// The pool of a plain service has a dispatcher while one of its upstreams has a limit or it is under pressure.
		dispatcher, ok := c.dispatchers.DispatcherOf(id, false, c.members)
		switch {
		case !ok || dispatcher.Host == c.self:
		case c.localPlacement && t.Now.Sub(pl.lastRequest) < auditInterval:
			// Hosts that get no response from the pool's dispatcher send their requests here; their attempts are kept.
		case c.localPlacement:
			c.releaseForeign(t, pl)
		default:
			c.transferPool(t, pl, dispatcher.Host)
		}
	}
}

// auditInterval is how often audit runs if the members do not change.
const auditInterval = 5 * time.Second

// transferPool sends a pool's upstreams to its new dispatcher and removes the pool here. Entry hosts resend their
// requests there and claim their reservations.
func (c *component) transferPool(t *core.Turn, pl *pool, to core.HostID) {
	for _, id := range slices.Sorted(maps.Keys(pl.upstreams)) {
		u := pl.upstreams[id]
		a := u.Announcement
		if pl.cold.rate > 0 {
			// The new dispatcher does not know when the announcement was made.
			a.ColdFor, a.ColdStated = min(max(0, pl.coldUntil(u).Sub(t.Now)), core.MaxStatedColdTime), true
		}
		t.Send(to, core.UpstreamUpdate{Announcement: &a})
	}
	c.sendLimits(t, to, pl)
	delete(c.pools, pl.id)
}

// releaseForeign removes the queued attempts and the reservations of other hosts, whose attempts another host now
// dispatches.
func (c *component) releaseForeign(t *core.Turn, pl *pool) {
	pl.queue.RemoveWhere(func(item *admission.Item) bool { return item.EntryHost != c.self })
	for _, a := range sortedAttempts(pl.reservations) {
		if r := pl.reservations[a]; r.entryHost != c.self {
			pl.release(r, t.Now)
		}
	}
}

func (c *component) tick(t *core.Turn) {
	if core.Due(c.nextNotice, t.Now) {
		c.sendNotices(t)
	}
	if core.Due(c.nextLimitList, t.Now) {
		c.sendLimitList(t)
	}
	if !core.Due(c.nextSweep, t.Now) {
		return
	}
	c.nextSweep = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(c.pools)) {
		c.sweepPool(t, c.pools[id])
		if c.pools[id].isUnused(t.Now) {
			delete(c.pools, id)
		}
	}
	if core.Due(c.nextAudit, t.Now) {
		c.audit(t)
	}
	c.resendCancels(t)
	c.postAvailability(t)
	if len(c.pools) > 0 || len(c.cancels) > 0 {
		c.nextSweep = t.Now.Add(sweepInterval)
	}
}

func (c *component) sweepPool(t *core.Turn, pl *pool) {
	pl.removeStale(t.Now)
	c.updateColdRates(pl, t.Now)
	c.sendNewlyCold(t, pl)
	pl.forgetSuspicions(t.Now)
	pl.refreshAll(t.Now, c.config.Policy(pl.id))
	c.balanceRoles(t, pl)
	if len(pl.upstreams) > 0 {
		pl.emptySince = t.Now
	}
	if pl.hasStaying() {
		pl.leavingSince = t.Now
	}
	c.releaseStale(t, pl)
	c.sampleLoad(t, pl)
	c.endPressure(t, pl)
	c.updateCentral(t, pl)
	c.refuseEvacuated(t, pl)
	noUpstream := t.Now.Sub(pl.emptySince) >= noUpstreamTimeout
	unserved := noUpstream || t.Now.Sub(pl.leavingSince) >= onlyLeavingTimeout
	if !noUpstream {
		c.refuseOutside(t, pl)
		c.refuseGoneVersions(t, pl)
	}
	c.expire(t, pl, noUpstream, unserved)
	c.placeQueued(t, pl)
	c.review(t, pl)
}

func (c *component) gauges(set func(string, int64)) {
	var queued, late, reserved, upstreams, limited, evacuated, cold, pressured, queuedCalls int
	var counts admission.Counts
	for _, pl := range c.pools {
		evacuated += len(pl.upstreams) - pl.countNotEvacuated()
		cold += pl.coldUpstreams
		limited += pl.limitedCount()
		if pl.pressured {
			pressured++
			queuedCalls += pl.queue.Len()
		}
		queued += pl.queue.Len()
		late += pl.queue.LateLen()
		reserved += len(pl.reservations)
		upstreams += len(pl.upstreams)
		counts.Add(&pl.queue.Counts)
	}
	set("pools", int64(len(c.pools)))
	set("queued", int64(queued))
	set("queuedLate", int64(late))
	set("placed", int64(reserved))
	set("upstreams", int64(upstreams))
	set("limitedUpstreams", int64(limited))
	set("evacuatedUpstreams", int64(evacuated))
	set("coldUpstreams", int64(cold))
	set("pressuredPools", int64(pressured))
	set("pressureQueued", int64(queuedCalls))
	set("cancelsOpen", int64(len(c.cancels)))
	counts.Gauges(set)
}
