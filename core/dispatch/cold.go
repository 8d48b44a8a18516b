package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// An upstream that has just started, or gets requests again after an evacuation, is cold for some seconds and takes only the
// cold rate of its pool from all hosts together. The dispatcher of the pool keeps to that rate as it keeps to the limits that
// upstreams name; of both rates the lower one applies. A host that places attempts without a dispatcher sends nothing to a cold
// upstream.
//
// In any second a cold upstream gets at most 1.5 times its cold rate and five requests, if in that time no more than two hosts
// take themselves for the dispatcher and no more than one is asked in place of a dispatcher that it knows. With the constants
// below, a host of the first kind grants coldBurst + t*coldShare*rate requests in a time t, one of the second kind
// coldSubstituteBurst + t*coldSubstituteShare*rate. A request is sent within core.ColdGrantLife of its grant, so that those of a
// second were granted in t = 1 s + core.ColdGrantLife: 2*(2 + 0.66*rate) + 1 + 0.18*rate. A decode that follows a prefill may be
// sent later; until then it takes the room of a request in the burst.
const (
	coldShare           = 0.55
	coldBurst           = 2
	coldSubstituteShare = 0.15
	coldSubstituteBurst = 1
	// coldGrantDelay is how long after its start a host grants no request to a cold upstream: until it knows the other hosts, it
	// may take itself for the dispatcher of any pool.
	coldGrantDelay = 3 * time.Second
	// A host that has handled no event for frozenThreshold has been frozen, since it sweeps its pools more often. Shorter pauses
	// are common on hosts with little processor time. What the host knows is old until it has read the messages that came
	// meanwhile, for catchUpTime at most.
	frozenThreshold = 500 * time.Millisecond
	catchUpTime     = 300 * time.Millisecond
	// coldTolerance is by how much the end of a cold time may differ between two statements, which are late by varying times.
	coldTolerance = 250 * time.Millisecond
)

// coldStart is what is known of the time for which an upstream is cold.
type coldStart struct {
	// startedBy is when the first announcement of the incarnation was made that any host has told of.
	startedBy time.Time
	// until is the end of the cold time, as the upstream said at statedAt; statedAt is zero if it has not said whether it is
	// cold.
	until    time.Time
	statedAt time.Time
	// allowance is what this host may use of the cold rate as the pool's dispatcher.
	allowance allowance
	// lastSent is when this host was last granted a request to the upstream while that was cold.
	lastSent time.Time
}

// state applies what the upstream said at a time of how much longer it is cold, unless it has said something since.
func (s *coldStart) state(at time.Time, coldFor time.Duration) {
	if !at.Before(s.statedAt) {
		s.statedAt, s.until = at, at.Add(coldFor)
	}
}

// coldRates are the cold rate of a pool, its default cold time, and what this host may use of the rate.
type coldRates struct {
	// rate is the number of requests per second that a cold upstream takes; zero means that none counts as cold.
	rate float64
	// time is how long an upstream that says nothing counts as cold.
	time time.Duration
	// share and burst limit this host as the dispatcher; they are zero if it may send nothing to a cold upstream.
	share float64
	burst float64
}

// coldSpan returns when an upstream said that it is cold and until when it is, or the same for one that says nothing from its first
// announcement on. Both are zero if the pool has no cold rate.
func (p *pool) coldSpan(u *upstream) (from, until time.Time) {
	switch {
	case u == nil || p.cold.rate == 0:
		return time.Time{}, time.Time{}
	case !u.cold.statedAt.IsZero():
		return u.cold.statedAt, u.cold.until
	}
	return u.cold.startedBy, u.cold.startedBy.Add(p.cold.time)
}

// coldUntil returns when an upstream stops being cold, or the zero time if the pool has no cold rate.
func (p *pool) coldUntil(u *upstream) time.Time {
	_, until := p.coldSpan(u)
	return until
}

// knowsStart reports whether an upstream has said whether it is cold, or this host had been up for a while when it started. A host
// that has just started takes all upstreams for new until replicas tell it since when they know them.
func (c *component) knowsStart(u *upstream) bool {
	return !u.cold.statedAt.IsZero() || c.startedAt.IsZero() || u.cold.startedBy.Sub(c.startedAt) >= coldGrantDelay
}

func (p *pool) isCold(u *upstream, now time.Time) bool {
	return p.cold.rate > 0 && now.Before(p.coldUntil(u))
}

// fillCold returns what a request may use of the cold rate of an upstream, filled up to now; nil means nothing.
func (p *pool) fillCold(u *upstream, request *core.PlacementRequest, now time.Time) *allowance {
	if request.LocalLoad != nil || p.cold.share == 0 {
		return nil
	}
	u.cold.allowance.fill(p.cold.rate*p.cold.share, p.cold.burst-float64(u.pendingDecodes), now)
	return &u.cold.allowance
}

// coldCount returns the number of cold upstreams.
func (p *pool) coldCount(now time.Time) int {
	n := 0
	for _, u := range p.upstreams {
		if p.isCold(u, now) {
			n++
		}
	}
	return n
}

// restartCold leaves a host that may not have dispatched the pool lately one request for each cold upstream, since the previous
// dispatcher may have used up the rate.
func (p *pool) restartCold(now time.Time) {
	if p.cold.rate == 0 {
		return
	}
	for _, u := range p.upstreams {
		if a := p.fillCold(u, &core.PlacementRequest{}, now); a != nil {
			a.tokens = min(a.tokens, 1)
		}
	}
}

// updateColdRates sets the cold rate of a pool and what this host may use of it.
func (c *component) updateColdRates(pl *pool, now time.Time) {
	configured, _ := c.config.Pool(pl.id)
	pl.cold = coldRates{rate: float64(configured.ColdRate), time: configured.ColdTime}
	live := core.CountEntryHosts(c.members)
	justStarted := !c.startedAt.IsZero() && now.Sub(c.startedAt) < coldGrantDelay
	// A minority of the hosts may be cut off from the others, which have a dispatcher of their own. With local placement each
	// host would be one.
	cutOff := 2*live < c.maxEntryHosts || (c.localPlacement && !c.dispatchers.IsMixed() && live > 1)
	if pl.cold.rate == 0 || justStarted || cutOff {
		return
	}
	pl.cold.share, pl.cold.burst = coldShare, coldBurst
	if dispatcher, ok := c.dispatchers.DispatcherOf(pl.id, false, c.members); ok && dispatcher.Host != c.self {
		pl.cold.share, pl.cold.burst = coldSubstituteShare, coldSubstituteBurst
	}
}

// coldChanged is called when the end of an upstream's cold time may have changed, with what it was before, perhaps for an earlier
// incarnation. It reports whether the upstream has become cold.
func (c *component) coldChanged(t *core.Turn, u *upstream, before time.Time, newIncarnation bool, reason string) bool {
	pl := c.pools[u.Pool]
	until := pl.coldUntil(u)
	cold, wasCold := t.Now.Before(until), t.Now.Before(before)
	if !cold && !wasCold {
		return false
	}
	if c.knowsStart(u) && (newIncarnation || !until.Equal(before)) {
		t.Post(core.UpstreamCold{ID: u.ID, Incarnation: u.Incarnation, Until: until})
	}
	if !cold || (wasCold && !newIncarnation) {
		return false
	}
	u.cold.allowance.fill(pl.cold.rate*pl.cold.share, 1, t.Now)
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "cold", Reason: reason + "; it is cold for " + until.Sub(t.Now).Round(time.Millisecond).String(),
		Pool: pl.id, Target: string(u.ID), Score: pl.cold.rate, Age: t.Now.Sub(u.lastSeen),
	})
	c.updateCentral(t, pl)
	c.scheduleSweep(t)
	return true
}

// detectFreeze has the requests to plain services with a cold rate placed by their dispatcher for a while after this host was
// frozen: it would send those that have come meanwhile at once, perhaps to upstreams that have started meanwhile.
func (c *component) detectFreeze(t *core.Turn) {
	frozen := !c.lastTurn.IsZero() && t.Now.Sub(c.lastTurn) >= frozenThreshold && !c.nextSweep.IsZero()
	c.lastTurn = t.Now
	if !frozen {
		return
	}
	c.catchUpUntil = t.Now.Add(catchUpTime)
	for _, pl := range c.sortedPools() {
		c.updateCentral(t, pl)
	}
}

// coldAnnounced is called after an announcement was applied.
func (c *component) coldAnnounced(t *core.Turn, u *upstream, before time.Time, newIncarnation bool) {
	reason := "the upstream announced it"
	if u.cold.statedAt.IsZero() {
		reason = "the upstream is new and has not said whether it is cold"
	}
	if c.coldChanged(t, u, before, newIncarnation, reason) && c.dispatches(u.Pool) {
		c.shareCold(u)
	}
}

// coldStated applies what an upstream said in a response to this host. Its dispatcher is told if it may not know.
func (c *component) coldStated(t *core.Turn, e core.UpstreamStated, u *upstream) {
	s := &e.Statement
	if u == nil {
		c.forwardCold(t, e)
		return
	}
	if e.Incarnation != 0 && e.Incarnation < u.Incarnation {
		return
	}
	pl := c.pools[e.Pool]
	before := pl.coldUntil(u)
	u.cold.state(s.ReadAt, s.ColdFor)
	if c.coldChanged(t, u, before, false, "the upstream said so in a response") {
		c.shareCold(u)
	}
}

// forwardCold tells the dispatcher of a pool that this host does not dispatch of a cold upstream, once for each cold time.
func (c *component) forwardCold(t *core.Turn, e core.UpstreamStated) {
	id, until := e.Statement.Upstream, e.Statement.ReadAt.Add(e.Statement.ColdFor)
	if c.localPlacement || !until.After(t.Now) || until.Sub(c.forwardedCold[id]) <= coldTolerance {
		return
	}
	if len(c.forwardedCold) >= c.limits.Upstreams {
		clear(c.forwardedCold)
	}
	c.forwardedCold[id] = until
	if dispatcher, ok := c.dispatchers.DispatcherOf(e.Pool, false, c.members); ok {
		t.Send(dispatcher.Host, core.UpstreamLimits{Cold: []core.ColdUpstream{{
			Pool: e.Pool, Upstream: id, Incarnation: e.Incarnation, ColdFor: e.Statement.ColdFor, Age: max(0, t.Now.Sub(e.Statement.ReadAt)),
		}}})
	}
}

// mergeCold applies what another host has heard of a cold upstream. A later incarnation than the one known here is the reason to
// take that for cold too: requests would reach the later one.
func (c *component) mergeCold(t *core.Turn, m *core.ColdUpstream, source core.HostID) {
	u := c.findUpstream(m.Pool, m.Upstream)
	if u == nil || (m.Incarnation != 0 && m.Incarnation < u.Incarnation) {
		return
	}
	before := c.pools[m.Pool].coldUntil(u)
	u.cold.state(t.Now.Add(-m.Age), m.ColdFor)
	if c.coldChanged(t, u, before, false, "according to host "+string(source)) && c.dispatches(m.Pool) {
		c.shareCold(u)
	}
}

// describeCold returns what this host tells others of a cold upstream, or false for one that is not known to be cold.
func (c *component) describeCold(pl *pool, u *upstream, now time.Time) (core.ColdUpstream, bool) {
	from, until := pl.coldSpan(u)
	if !now.Before(until) || !c.knowsStart(u) || until.Sub(from) > core.MaxStatedColdTime {
		return core.ColdUpstream{}, false
	}
	m := core.ColdUpstream{
		Pool: u.Pool, Upstream: u.ID, Incarnation: u.Incarnation, ColdFor: until.Sub(from), Age: max(0, now.Sub(from)),
	}
	if !u.cold.lastSent.IsZero() {
		m.SinceSent = max(time.Nanosecond, now.Sub(u.cold.lastSent))
	}
	return m, true
}

// dispatches reports whether this host takes itself for the dispatcher of a pool that has one.
func (c *component) dispatches(id core.PoolID) bool {
	dispatcher, ok := c.dispatchers.DispatcherOf(id, false, c.members)
	return ok && dispatcher.Host == c.self
}

// shareCold has the next sweep tell other hosts of an upstream that has become cold.
func (c *component) shareCold(u *upstream) {
	if pl := c.pools[u.Pool]; c.localPlacement && len(pl.newlyCold) < core.MaxUpstreamLimits {
		pl.newlyCold = append(pl.newlyCold, u.ID)
	}
}

// sendNewlyCold tells other hosts which upstreams have become cold since the last sweep. The dispatcher tells all entry hosts,
// some of which may not hear the replicas; any other host, to which the upstream said so, tells the dispatcher.
func (c *component) sendNewlyCold(t *core.Turn, pl *pool) {
	var m core.UpstreamLimits
	for _, id := range pl.newlyCold {
		if u := pl.upstreams[id]; u != nil {
			if cold, ok := c.describeCold(pl, u, t.Now); ok {
				m.Cold = append(m.Cold, cold)
			}
		}
	}
	pl.newlyCold = nil
	if len(m.Cold) == 0 {
		return
	}
	if dispatcher, ok := c.dispatchers.DispatcherOf(pl.id, false, c.members); !ok || dispatcher.Host != c.self {
		t.Send(dispatcher.Host, m)
		return
	}
	for i := range c.members {
		if h := &c.members[i]; h.Entry && h.Host != c.self {
			t.Send(h.Host, m)
		}
	}
}

// applyColdRate applies the cold rate that a configuration sets for a pool.
func (c *component) applyColdRate(t *core.Turn, pl *pool) {
	before := map[core.UpstreamID]time.Time{}
	for id, u := range pl.upstreams {
		before[id] = pl.coldUntil(u)
	}
	c.updateColdRates(pl, t.Now)
	for _, id := range slices.Sorted(maps.Keys(pl.upstreams)) {
		c.coldChanged(t, pl.upstreams[id], before[id], false, "the pool has a cold rate now")
	}
}
