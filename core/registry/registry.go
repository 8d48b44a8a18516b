package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 55
	// refreshInterval is how often the entry hosts are told which upstreams miss heartbeats. This also shows them that a
	// change was lost.
	refreshInterval = time.Second
	// defaultFreshFor is how long an upstream counts as seen after a heartbeat where no heartbeat timeout is set.
	defaultFreshFor = time.Second
	// deregistrationRepeats is how many refreshes repeat a deregistration. Entry hosts keep the upstream's record for
	// longer than that.
	deregistrationRepeats = 5
	// staleTimeout is how long an upstream that misses heartbeats is kept.
	staleTimeout = 30 * time.Second
	// coldTolerance is by how much the end of a cold time may differ between heartbeats, which are late by varying times.
	coldTolerance = 250 * time.Millisecond
	// deregistrationTTL is how long a deregistration is kept for entry hosts that start and for announcements that are late.
	// Other replicas keep the upstream for staleTimeout after its last heartbeat.
	deregistrationTTL = 2 * staleTimeout
)

// record is the last announcement of an upstream to this host.
type record struct {
	core.Announcement
	// firstSeen is when the first announcement of the incarnation came.
	firstSeen time.Time
	lastSeen  time.Time
	// toldCold is until when the entry hosts take the upstream for cold, as they were told.
	toldCold time.Time
}

// deregistration is one that this host received.
type deregistration struct {
	// incarnation is the latest one that deregistered; earlier ones have ended. Zero means those known before receivedAt.
	incarnation uint64
	receivedAt  time.Time
	// repeats is the number of refreshes that still repeat it.
	repeats int
}

// deregistrationKey identifies a deregistration: an upstream may have one that names an incarnation and one that does not.
type deregistrationKey struct {
	id      core.UpstreamID
	unnamed bool
}

// component keeps the list of the upstreams that announce themselves to this host, and sends its changes to all entry
// hosts immediately, and once a second which upstreams miss heartbeats. Forwarding each announcement was rejected because
// the number of messages grows with upstreams times hosts, and sending all of them once a second because the bytes do.
type component struct {
	maxUpstreams int
	boot         uint64
	// version numbers the list; it grows with each change.
	version uint64
	// freshFor is how long an upstream counts as seen after a heartbeat.
	freshFor     time.Duration
	upstreams    map[core.UpstreamID]*record
	deregistered map[deregistrationKey]*deregistration
	members      []core.Member
	// maxEntryHosts is the largest number of entry hosts that were known at once.
	maxEntryHosts int
	knownBoots    map[core.HostID]uint64
	nextRefresh   time.Time
}

func init() { core.Register(Plugin()) }

// Plugin returns the registry plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "registry", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	if env.Placement == core.PlacementPerPool {
		return core.Component{Handle: func(*core.Turn, core.Event) {}}
	}
	c := &component{
		maxUpstreams: env.Limits.Upstreams, boot: env.Boot, version: 1, freshFor: env.UpstreamHeartbeatTimeout / 2, upstreams: map[core.UpstreamID]*record{},
		deregistered: map[deregistrationKey]*deregistration{},
		knownBoots:   map[core.HostID]uint64{},
	}
	if c.freshFor == 0 {
		c.freshFor = defaultFreshFor
	}
	return core.Component{Handle: c.handle, NextDeadline: func() time.Time { return c.nextRefresh }, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.UpstreamAnnounced:
		c.handleAnnouncement(t, e.Announcement)
	case core.UpstreamDeregistered:
		c.handleDeregistration(t, e)
	case core.MembersChanged:
		c.handleMembersChanged(t, e.Members)
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		if _, ok := e.Message.(core.UpstreamListRequest); ok {
			t.Send(e.From, c.completeList(t))
		}
	}
}

func (c *component) handleAnnouncement(t *core.Turn, a core.Announcement) {
	previous := c.upstreams[a.ID]
	if previous == nil && len(c.upstreams) >= c.maxUpstreams {
		return
	}
	if previous != nil && a.Incarnation < previous.Incarnation {
		return
	}
	known, lastSeen := previous != nil && a.Incarnation == previous.Incarnation, t.Now
	leaving := a.Leaving || c.hasDeregistered(&a) || (known && previous.Leaving)
	if known && a.Seq < previous.Seq {
		// A late announcement tells only whether the upstream had begun to leave.
		a, lastSeen = previous.Announcement, previous.lastSeen
	}
	a.Leaving = leaving
	r := &record{Announcement: a, firstSeen: t.Now, lastSeen: lastSeen}
	if known {
		r.firstSeen, r.toldCold = previous.firstSeen, previous.toldCold
	}
	changed := !known || hasChanged(&previous.Announcement, &a) || c.becomesCold(r, t.Now)
	c.upstreams[a.ID] = r
	c.scheduleRefresh(t)
	if !changed {
		return
	}
	r.toldCold = r.coldUntil()
	t.LogDecision(core.Decision{
		Component: "registry", Choice: "heard", Reason: changeReason(&a), Pool: a.Pool, Target: string(a.ID),
		Score: float64(a.Seq), Software: a.SoftwareVersion,
	})
	c.broadcastChange(t, core.UpstreamList{Seen: []core.SeenUpstream{r.describe(t.Now)}})
}

// changeReason returns the logged reason for sending a changed announcement.
func changeReason(a *core.Announcement) string {
	if a.Leaving {
		return "the upstream is leaving"
	}
	return "the upstream is new or has changed"
}

// hasChanged reports whether an announcement is more than a heartbeat: b differs from a in other fields than Seq and
// those on the cold time, which becomesCold compares, or the upstream has begun to leave.
func hasChanged(a, b *core.Announcement) bool {
	c := *b
	c.Seq, c.Leaving = a.Seq, a.Leaving || b.Leaving
	c.ColdFor, c.ColdStated = a.ColdFor, a.ColdStated
	return *a != c
}

// becomesCold reports whether an announcement tells of a cold time that the entry hosts don't know: the upstream stays cold
// for longer than they believe, and what they believe ends before the next heartbeats. A cold time that counts down is no
// change, nor is one that is extended long before its end.
func (c *component) becomesCold(r *record, now time.Time) bool {
	return r.coldUntil().After(now) && r.coldUntil().Sub(r.toldCold) > coldTolerance && r.toldCold.Sub(now) <= c.freshFor
}

// describe returns what the entry hosts are told of an upstream.
func (r *record) describe(now time.Time) core.SeenUpstream {
	return core.SeenUpstream{Announcement: r.Announcement, Age: now.Sub(r.lastSeen), KnownFor: now.Sub(r.firstSeen)}
}

// coldUntil returns when the upstream stops being cold by its last announcement.
func (r *record) coldUntil() time.Time { return r.lastSeen.Add(r.ColdFor) }

// hasDeregistered reports whether the incarnation of an announcement has deregistered here.
func (c *component) hasDeregistered(a *core.Announcement) bool {
	d := c.deregistered[deregistrationKey{id: a.ID}]
	return d != nil && a.Incarnation <= d.incarnation
}

// handleDeregistration tells the entry hosts that an upstream has deregistered. It may have restarted and announced its new
// incarnation to another replica, so that this one knows only an earlier incarnation, or none.
func (c *component) handleDeregistration(t *core.Turn, m core.UpstreamDeregistered) {
	known := c.upstreams[m.ID]
	if known != nil && m.Incarnation != 0 && m.Incarnation < known.Incarnation {
		return
	}
	if known != nil && m.Incarnation == 0 && t.Now.Sub(known.lastSeen) < c.freshFor {
		m.Incarnation = known.Incarnation
	}
	if known != nil && (m.Incarnation == 0 || known.Incarnation <= m.Incarnation) {
		known.Leaving = true
	}
	c.keepDeregistration(t, m)
	c.scheduleRefresh(t)
	t.LogDecision(core.Decision{
		Component: "registry", Choice: "gone", Reason: "the upstream deregistered", Target: string(m.ID),
	})
	c.broadcast(t, core.UpstreamList{Deregistered: []core.UpstreamDeregistered{m}})
}

// keepDeregistration keeps a deregistration so that it is repeated, unless a later incarnation has deregistered.
func (c *component) keepDeregistration(t *core.Turn, m core.UpstreamDeregistered) {
	k := deregistrationKey{id: m.ID, unnamed: m.Incarnation == 0}
	kept := c.deregistered[k]
	if (kept == nil && len(c.deregistered) >= c.maxUpstreams) || (kept != nil && m.Incarnation < kept.incarnation) {
		return
	}
	c.deregistered[k] = &deregistration{incarnation: m.Incarnation, receivedAt: t.Now, repeats: deregistrationRepeats}
}

// listDeregistered returns the deregistrations that match, in order.
func (c *component) listDeregistered(now time.Time, match func(*deregistration) bool) []core.UpstreamDeregistered {
	var out []core.UpstreamDeregistered
	for _, k := range slices.SortedFunc(maps.Keys(c.deregistered), compareDeregistered) {
		d := c.deregistered[k]
		if !match(d) {
			continue
		}
		m := core.UpstreamDeregistered{ID: k.id, Incarnation: d.incarnation}
		if k.unnamed {
			m.Age = now.Sub(d.receivedAt)
		}
		out = append(out, m)
	}
	return out
}

// handleMembersChanged sends the full list to each entry host that is new or has restarted.
func (c *component) handleMembersChanged(t *core.Turn, members []core.Member) {
	c.members = members
	c.maxEntryHosts = max(c.maxEntryHosts, core.CountEntryHosts(members))
	boots := map[core.HostID]uint64{}
	for i := range members {
		m := &members[i]
		if !m.Entry {
			continue
		}
		boots[m.Host] = m.Boot
		if c.knownBoots[m.Host] != m.Boot && len(c.upstreams)+len(c.deregistered) > 0 {
			t.Send(m.Host, c.completeList(t))
		}
	}
	c.knownBoots = boots
}

// broadcast sends a list to all entry hosts.
func (c *component) broadcast(t *core.Turn, m core.UpstreamList) {
	m.EntryHosts = c.maxEntryHosts
	for i := range c.members {
		if c.members[i].Entry {
			t.Send(c.members[i].Host, m)
		}
	}
}

// broadcastChange sends a change of the list to all entry hosts, with a new version.
func (c *component) broadcastChange(t *core.Turn, m core.UpstreamList) {
	m.Boot, m.Base, m.Version = c.boot, c.version, c.version+1
	c.version++
	c.broadcast(t, m)
}

// completeList returns all upstreams with the ages of their announcements, and the deregistrations, since other replicas may
// not know of them.
func (c *component) completeList(t *core.Turn) core.UpstreamList {
	m := core.UpstreamList{Boot: c.boot, Version: c.version, EntryHosts: c.maxEntryHosts}
	m.Deregistered = c.listDeregistered(t.Now, func(*deregistration) bool { return true })
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		r := c.upstreams[id]
		m.Seen = append(m.Seen, r.describe(t.Now))
	}
	return m
}

func (c *component) scheduleRefresh(t *core.Turn) {
	if c.nextRefresh.IsZero() {
		c.nextRefresh = t.Now.Add(refreshInterval)
	}
}

func (c *component) tick(t *core.Turn) {
	if !core.Due(c.nextRefresh, t.Now) {
		return
	}
	c.nextRefresh = time.Time{}
	m := core.UpstreamList{Boot: c.boot, Base: c.version, Version: c.version, Refresh: true, FreshFor: c.freshFor}
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		switch age := t.Now.Sub(c.upstreams[id].lastSeen); {
		case age >= staleTimeout:
			m.Removed = append(m.Removed, id)
			delete(c.upstreams, id)
		case age >= c.freshFor:
			m.Missing = append(m.Missing, core.MissingUpstream{ID: id, Age: age})
		}
	}
	m.Deregistered = c.listDeregistered(t.Now, isRepeated)
	maps.DeleteFunc(c.deregistered, func(_ deregistrationKey, d *deregistration) bool {
		d.repeats = max(0, d.repeats-1)
		return t.Now.Sub(d.receivedAt) >= deregistrationTTL
	})
	if len(m.Removed) > 0 {
		c.version++
		m.Version = c.version
	}
	if len(c.upstreams) > 0 || len(m.Removed) > 0 || len(m.Deregistered) > 0 {
		c.broadcast(t, m)
	}
	if len(c.upstreams) > 0 || len(c.deregistered) > 0 {
		c.scheduleRefresh(t)
	}
}

func isRepeated(d *deregistration) bool { return d.repeats > 0 }

func compareDeregistered(a, b deregistrationKey) int {
	if order := cmp.Compare(a.id, b.id); order != 0 || a.unnamed == b.unnamed {
		return order
	}
	if a.unnamed {
		return -1
	}
	return 1
}

func (c *component) gauges(set func(string, int64)) {
	leaving := 0
	for _, d := range c.deregistered {
		if isRepeated(d) {
			leaving++
		}
	}
	set("upstreams", int64(len(c.upstreams)))
	set("leaving", int64(leaving))
}
