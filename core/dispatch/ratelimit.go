package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleanderlever/core"
)

// An upstream in need says in its responses how many requests it takes from all hosts together. The dispatcher of its pool
// keeps to that, since it places for all hosts; in mixed placement the pool of a plain service has one while any of its
// upstreams has a limit, or while it is under pressure. Hosts tell each other of limits by gossip, of all limits in turn every limitListInterval, and tell a
// new dispatcher of them with their claims.
const (
	// limitListInterval is the time between two lists of the known limits to another host.
	limitListInterval = 5 * time.Second
	// endedLimitTTL is how long lists have a limit that has ended.
	endedLimitTTL = 30 * time.Second
	// publishInterval is the shortest time between two gossip items on one upstream, publishRatio the smallest change of a
	// limit that is worth one. Lists tell of the others.
	publishInterval = 500 * time.Millisecond
	publishRatio    = 0.1
)

// rateLimit is what an upstream has said of the requests that it takes, and what may still be used of it.
type rateLimit struct {
	// rate is zero if the upstream has no limit.
	rate core.RequestRate
	// statedAt is when the upstream last said so, to the host source; changedAt is when the rate last changed here.
	statedAt  time.Time
	source    core.HostID
	changedAt time.Time
	// publishedAt is when this host last published the limit by gossip.
	publishedAt time.Time
	// shared is what this host may use of the limit as the pool's dispatcher, local what it may use alone.
	shared allowance
	local  allowance
	// lastSent is when this host was last granted a request to the upstream.
	lastSent time.Time
}

// limitStated applies the limit that an upstream named in a response to this host, and tells other hosts if it is new.
func (c *component) limitStated(t *core.Turn, e core.UpstreamStated, u *upstream) {
	if u == nil {
		c.forwardLimit(t, e)
		return
	}
	if !e.Statement.ReadAt.After(u.limit.statedAt) || (e.Incarnation != 0 && e.Incarnation != u.Incarnation) {
		return
	}
	before := u.limit.rate
	c.setLimit(t, u, e.Statement.RateLimit, e.Statement.ReadAt, c.self)
	if c.isWorthPublishing(t, u, before) {
		u.limit.publishedAt = t.Now
		l := u.describeLimit(t.Now)
		t.Post(core.ShareObservation{Observation: core.Observation{UpstreamLimit: &l}})
	}
}

// isWorthPublishing reports whether other hosts should hear of a limit that was different before.
func (c *component) isWorthPublishing(t *core.Turn, u *upstream, before core.RequestRate) bool {
	change := math.Abs(float64(u.limit.rate - before))
	begins := (before == 0) != (u.limit.rate == 0)
	return c.localPlacement && (begins || change > publishRatio*float64(before)) &&
		(u.limit.publishedAt.IsZero() || t.Now.Sub(u.limit.publishedAt) >= publishInterval)
}

// forwardLimit sends a limit to the dispatcher of a pool that this host does not dispatch. Of upstreams without a limit it
// tells only once.
func (c *component) forwardLimit(t *core.Turn, e core.UpstreamStated) {
	id, rate := e.Statement.Upstream, e.Statement.RateLimit
	if c.localPlacement || (rate == 0 && c.forwardedLimits[id] == 0) {
		return
	}
	c.forwardedLimits[id] = rate
	if rate == 0 || len(c.forwardedLimits) > c.limits.Upstreams {
		delete(c.forwardedLimits, id)
	}
	if dispatcher, ok := c.dispatchers.DispatcherOf(e.Pool, false, c.members); ok {
		t.Send(dispatcher.Host, core.UpstreamLimits{Limits: []core.UpstreamLimit{
			{Pool: e.Pool, Upstream: id, Incarnation: e.Incarnation, RateLimit: rate},
		}})
	}
}

// setLimit stores what an upstream said at statedAt, and logs it if it is new. The first request under a limit may be sent
// at once.
func (c *component) setLimit(t *core.Turn, u *upstream, rate core.RequestRate, statedAt time.Time, source core.HostID) {
	l := &u.limit
	l.statedAt, l.source = statedAt, source
	if rate == l.rate {
		return
	}
	if l.rate == 0 {
		l.shared, l.local = allowance{tokens: 1, filledAt: t.Now}, allowance{}
	}
	l.rate, l.changedAt = rate, t.Now
	reason := "the upstream limits its requests per second, according to host " + string(source)
	if rate == 0 {
		reason = "the upstream has no limit any more, according to host " + string(source)
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "limit", Reason: reason, Pool: u.Pool, Target: string(u.ID), Score: float64(rate),
		Age: t.Now.Sub(statedAt),
	})
	pl := c.pools[u.Pool]
	c.updateCentral(t, pl)
	c.scheduleSweep(t)
	c.scheduleLimitList(t)
	c.placeQueued(t, pl)
}

// mergeLimit applies what another host has heard of an upstream, unless this host knows something newer. It reports whether
// the limit is different from before.
func (c *component) mergeLimit(t *core.Turn, l *core.UpstreamLimit, source core.HostID) bool {
	u := c.findUpstream(l.Pool, l.Upstream)
	statedAt := t.Now.Add(-l.Age)
	if u == nil || l.Incarnation > u.Incarnation {
		c.keepPendingLimit(t, l, source)
		return false
	}
	if (l.Incarnation != 0 && l.Incarnation != u.Incarnation) || !statedAt.After(u.limit.statedAt) {
		return false
	}
	before := u.limit.rate
	c.setLimit(t, u, l.RateLimit, statedAt, source)
	return u.limit.rate != before
}

// pendingLimit is the limit of an upstream whose incarnation is not known yet, as the host source has told it at heardAt.
type pendingLimit struct {
	limit   core.UpstreamLimit
	heardAt time.Time
	source  core.HostID
}

// isNewerThan reports whether a limit concerns a later incarnation than another one, or was stated later.
func (p *pendingLimit) isNewerThan(other *pendingLimit) bool {
	if p.limit.Incarnation != other.limit.Incarnation {
		return p.limit.Incarnation > other.limit.Incarnation
	}
	return p.heardAt.Add(-p.limit.Age).After(other.heardAt.Add(-other.limit.Age))
}

// keepPendingLimit keeps a limit until the upstream's incarnation is announced, unless a newer one is kept.
func (c *component) keepPendingLimit(t *core.Turn, l *core.UpstreamLimit, source core.HostID) {
	pending := pendingLimit{limit: *l, heardAt: t.Now, source: source}
	kept, ok := c.pendingLimits[l.Upstream]
	if (!ok && len(c.pendingLimits) < c.limits.Upstreams) || (ok && pending.isNewerThan(&kept)) {
		c.pendingLimits[l.Upstream] = pending
		c.scheduleLimitList(t)
	}
}

// applyPendingLimit applies the limit of an upstream whose incarnation is known now.
func (c *component) applyPendingLimit(t *core.Turn, id core.UpstreamID) {
	pending, ok := c.pendingLimits[id]
	if !ok {
		return
	}
	if u := c.findUpstream(pending.limit.Pool, id); u == nil || pending.limit.Incarnation > u.Incarnation {
		return
	}
	delete(c.pendingLimits, id)
	pending.limit.Age += t.Now.Sub(pending.heardAt)
	c.mergeLimit(t, &pending.limit, pending.source)
}

// describeLimit returns what this host tells others of an upstream's limit.
func (u *upstream) describeLimit(now time.Time) core.UpstreamLimit {
	l := core.UpstreamLimit{
		Pool: u.Pool, Upstream: u.ID, Incarnation: u.Incarnation, RateLimit: u.limit.rate, Age: now.Sub(u.limit.statedAt),
	}
	if !u.limit.lastSent.IsZero() {
		l.SinceSent = max(time.Nanosecond, now.Sub(u.limit.lastSent))
	}
	return l
}

// handleLimits applies the limits that another host knows. What it was granted lately, perhaps by another dispatcher, can't
// be granted again.
func (c *component) handleLimits(t *core.Turn, from core.HostID, m core.UpstreamLimits) {
	for i := range m.Cold {
		cold := &m.Cold[i]
		c.mergeCold(t, cold, from)
		u := c.findUpstream(cold.Pool, cold.Upstream)
		if u == nil || cold.SinceSent == 0 || from == c.self || !m.NewDispatcher {
			continue
		}
		pl := c.pools[cold.Pool]
		if a := pl.fillCold(u, &core.PlacementRequest{}, t.Now); a != nil {
			a.tokens = min(a.tokens, pl.cold.rate*pl.cold.share*cold.SinceSent.Seconds())
		}
	}
	for i := range m.Limits {
		l := &m.Limits[i]
		c.mergeLimit(t, l, from)
		u := c.findUpstream(l.Pool, l.Upstream)
		if u == nil || u.limit.rate == 0 || l.SinceSent == 0 || from == c.self || !m.NewDispatcher {
			continue
		}
		c.pools[l.Pool].fillAllowance(u, &core.PlacementRequest{}, t.Now)
		u.limit.shared.tokens = min(u.limit.shared.tokens, float64(u.limit.rate)*l.SinceSent.Seconds())
	}
}

// sendLimits tells a host about the limits in a pool: a new dispatcher of the pool, which may have just started.
func (c *component) sendLimits(t *core.Turn, to core.HostID, pl *pool) {
	if m := c.listLimits(t.Now, pl); len(m.Limits)+len(m.Cold) > 0 {
		m.NewDispatcher = true
		t.Send(to, m)
	}
}

// tellNewcomers tells entry hosts that have started about all limits.
func (c *component) tellNewcomers(t *core.Turn) {
	newcomers := c.newcomers.Update(c.members, c.self, false)
	if m := c.listLimits(t.Now, c.sortedPools()...); len(m.Limits)+len(m.Cold) > 0 && c.localPlacement {
		for _, h := range newcomers {
			t.Send(h, m)
		}
	}
}

func (c *component) sortedPools() []*pool {
	return slices.SortedFunc(maps.Values(c.pools), func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
}

// listLimits returns the limits of pools, those that have ended lately, and the cold upstreams.
func (c *component) listLimits(now time.Time, pools ...*pool) core.UpstreamLimits {
	var m core.UpstreamLimits
	for _, pl := range pools {
		for _, id := range slices.Sorted(maps.Keys(pl.upstreams)) {
			u := pl.upstreams[id]
			ended := !u.limit.changedAt.IsZero() && now.Sub(u.limit.changedAt) < endedLimitTTL
			if (u.limit.rate > 0 || ended) && len(m.Limits) < core.MaxUpstreamLimits {
				m.Limits = append(m.Limits, u.describeLimit(now))
			}
			if cold, ok := c.describeCold(pl, u, now); ok && len(m.Cold) < core.MaxUpstreamLimits {
				m.Cold = append(m.Cold, cold)
			}
		}
	}
	return m
}

func (c *component) scheduleLimitList(t *core.Turn) {
	if c.localPlacement && c.nextLimitList.IsZero() {
		c.nextLimitList = t.Now.Add(limitListInterval)
	}
}

// sendLimitList sends the limits of all pools to one random entry host, which may have missed a change.
func (c *component) sendLimitList(t *core.Turn) {
	c.nextLimitList = time.Time{}
	maps.DeleteFunc(c.pendingLimits, func(_ core.UpstreamID, p pendingLimit) bool {
		return t.Now.Sub(p.heardAt) >= endedLimitTTL
	})
	m := c.listLimits(t.Now, c.sortedPools()...)
	if len(m.Limits) == 0 {
		return
	}
	c.scheduleLimitList(t)
	var others []core.HostID
	for i := range c.members {
		if c.members[i].Entry && c.members[i].Host != c.self {
			others = append(others, c.members[i].Host)
		}
	}
	if len(others) > 0 {
		t.Send(others[c.rand.IntN(len(others))], m)
	}
}

// grantReceived records that this host was granted requests to upstreams with a limit or to cold ones, and that the dispatcher finds
// pressure. A dispatcher that does not know that an upstream is cold is told.
func (c *component) grantReceived(t *core.Turn, from core.HostID, m *core.PlacementGrant) {
	pl := c.pools[m.Pool]
	if pl == nil {
		return
	}
	if m.Pressure {
		c.pressureGranted(t, pl, from)
	}
	for _, sent := range []struct {
		id   core.UpstreamID
		cold bool
	}{{m.Prefill, m.PrefillCold}, {m.Decode, m.DecodeCold}} {
		u := pl.upstreams[sent.id]
		if u == nil {
			continue
		}
		if u.limit.rate > 0 {
			u.limit.lastSent = t.Now
		}
		if sent.cold || pl.isCold(u, t.Now) {
			u.cold.lastSent = t.Now
		}
		if sent.cold || from == c.self || pl.coldUntil(u).Sub(t.Now) <= coldTolerance {
			continue
		}
		if cold, ok := c.describeCold(pl, u, t.Now); ok {
			t.Send(from, core.UpstreamLimits{Cold: []core.ColdUpstream{cold}})
		}
	}
}

// updateCentral determines whether the dispatcher of a pool places the calls of all hosts, and tells the entry plug-in if that
// has changed: the pool is that of a plain service and has an upstream with a limit or a cold one, or is under pressure.
func (c *component) updateCentral(t *core.Turn, pl *pool) {
	named := pl.limitedCount()
	pl.namedLimits, pl.coldUpstreams = named > 0, pl.coldCount(t.Now)
	limited := named > 0 || pl.coldUpstreams > 0 || (pl.cold.rate > 0 && t.Now.Before(c.catchUpUntil))
	pressured := pl.isPressured(t.Now)
	if limited == pl.limited && pressured == pl.pressured {
		return
	}
	pl.limited, pl.pressured = limited, pressured
	if central := limited || pressured; central && !pl.central {
		pl.centralSince = t.Now
	}
	pl.central = limited || pressured
	if pl.engine == nil {
		t.Post(core.PoolPlacementChanged{Pool: pl.id, Central: pl.central, Pressure: pressured})
	}
}

// limitedCount returns the number of upstreams with a limit.
func (p *pool) limitedCount() int {
	n := 0
	for _, u := range p.upstreams {
		if u.limit.rate > 0 {
			n++
		}
	}
	return n
}
