package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// listRequestInterval is the shortest time between two requests for the complete list of one host.
	listRequestInterval = 500 * time.Millisecond
	// misdirectedRetry is how long an upstream with an unexpected identity or role gets no work if it goes on to
	// announce the same ones.
	misdirectedRetry = 2 * time.Second
)

// heardList is the list of upstreams that announce themselves to another host, as its messages have built it.
type heardList struct {
	boot, version uint64
	upstreams     map[core.UpstreamID]heardUpstream
	requestedAt   time.Time
}

// heardUpstream identifies the upstream that a list means.
type heardUpstream struct {
	pool        core.PoolID
	incarnation uint64
}

// handleUpstreamList applies the list of upstreams from a host's registry plug-in to the pools of this host.
func (c *component) handleUpstreamList(t *core.Turn, from core.HostID, m core.UpstreamList) {
	c.maxEntryHosts = max(c.maxEntryHosts, min(m.EntryHosts, c.limits.Hosts))
	for i := range m.Seen {
		c.handleAnnouncement(t, &m.Seen[i].Announcement, t.Now.Add(-m.Seen[i].Age), t.Now.Add(-m.Seen[i].KnownFor))
	}
	for _, deregistered := range m.Deregistered {
		c.handleDeregistration(t, deregistered)
	}
	if l := c.updateList(t, from, &m); l != nil && m.Refresh {
		c.refreshFromList(t, from, l, &m)
	}
	c.postAvailability(t)
}

// updateList brings the list of a host to the version of the message. It returns nil if that is impossible, and requests
// the complete list.
func (c *component) updateList(t *core.Turn, from core.HostID, m *core.UpstreamList) *heardList {
	if m.Version == 0 {
		return nil
	}
	l := c.heardLists[from]
	if l == nil {
		if len(c.heardLists) >= c.limits.Hosts {
			return nil
		}
		l = &heardList{}
		c.heardLists[from] = l
	}
	if m.Base == 0 {
		*l = heardList{boot: m.Boot, upstreams: map[core.UpstreamID]heardUpstream{}, requestedAt: l.requestedAt}
	} else if m.Boot != l.boot || m.Base != l.version {
		c.requestList(t, from, l)
		return nil
	}
	for i := range m.Seen {
		a := &m.Seen[i].Announcement
		if len(l.upstreams) < c.limits.Upstreams {
			l.upstreams[a.ID] = heardUpstream{pool: a.Pool, incarnation: a.Incarnation}
		}
	}
	for _, id := range m.Removed {
		delete(l.upstreams, id)
	}
	l.version = m.Version
	return l
}

func (c *component) requestList(t *core.Turn, from core.HostID, l *heardList) {
	if l.requestedAt.IsZero() || t.Now.Sub(l.requestedAt) >= listRequestInterval {
		l.requestedAt = t.Now
		t.Send(from, core.UpstreamListRequest{})
	}
}

// refreshFromList records when the upstreams of a list were last seen.
func (c *component) refreshFromList(t *core.Turn, from core.HostID, l *heardList, m *core.UpstreamList) {
	age := map[core.UpstreamID]time.Duration{}
	for _, missing := range m.Missing {
		age[missing.ID] = missing.Age
	}
	for _, id := range slices.Sorted(maps.Keys(l.upstreams)) {
		u := c.findUpstream(l.upstreams[id].pool, id)
		missingFor, missing := age[id]
		switch {
		case u == nil && !missing:
			if latest := c.latestIncarnation(id); latest == nil || latest.Incarnation <= l.upstreams[id].incarnation {
				// It was removed here while no list arrived.
				c.requestList(t, from, l)
			}
			continue
		case u == nil || u.Incarnation != l.upstreams[id].incarnation:
			continue
		case missing:
			u.lastSeen = later(u.lastSeen, t.Now.Add(-missingFor))
			continue
		}
		pl := c.pools[u.Pool]
		u.lastSeen = later(u.lastSeen, t.Now.Add(-m.FreshFor))
		pl.lastSeen = later(pl.lastSeen, t.Now)
		u.misdirected = u.misdirected && t.Now.Sub(u.misdirectedAt) < misdirectedRetry
		if u.decodeIndex < 0 && u.prefillIndex < 0 {
			pl.refresh(u, t.Now, c.config.Policy(pl.id))
		}
		c.checkAssignment(t, &u.Announcement)
	}
}

func (c *component) findUpstream(pool core.PoolID, id core.UpstreamID) *upstream {
	if pl := c.pools[pool]; pl != nil {
		return pl.upstreams[id]
	}
	return nil
}

// checkAssignment tells the leader of an engine that announces another state than the one assigned to it.
func (c *component) checkAssignment(t *core.Turn, a *core.Announcement) {
	if want, ok := c.config.Assignment(a.ID); ok && !want.SatisfiedBy(a) && !a.Leaving && !c.config.IsEvacuated(a.DataCentre) {
		t.Send(c.leader, core.AssignmentMismatch{Announcement: *a})
	}
}

// forgetLists removes the lists of hosts that are not members any more.
func (c *component) forgetLists() {
	maps.DeleteFunc(c.heardLists, func(h core.HostID, _ *heardList) bool {
		return !slices.ContainsFunc(c.members, func(m core.Member) bool { return m.Host == h })
	})
}

// replaceIncarnation removes the records that an announcement makes obsolete: those of earlier incarnations in other pools, and
// those of other upstreams with its address and an earlier incarnation, since addresses are reused. Incarnations must be
// comparable between upstreams. It returns false if a later incarnation is in another pool.
func (c *component) replaceIncarnation(a *core.Announcement, now time.Time) bool {
	if pl := c.pools[a.Pool]; pl != nil && pl.upstreams[a.ID] != nil && pl.upstreams[a.ID].Incarnation >= a.Incarnation {
		return true
	}
	if latest := c.latestIncarnation(a.ID); latest != nil && latest.Incarnation > a.Incarnation {
		return false
	}
	for _, pl := range c.pools {
		for _, u := range pl.upstreams {
			sameUpstream := u.ID == a.ID && pl.id != a.Pool
			if u.Incarnation < a.Incarnation && (sameUpstream || (u.ID != a.ID && u.Addr == a.Addr)) {
				pl.removeUpstream(u, now)
			}
		}
	}
	return true
}

// postAvailability tells the other components when the first upstream becomes available or the last one unavailable.
func (c *component) postAvailability(t *core.Turn) {
	n := 0
	for _, pl := range c.pools {
		n += pl.decodeCandidates.Len()
	}
	if (n > 0) != c.hasUpstreams {
		c.hasUpstreams = n > 0
		reason := "no upstream is available"
		if c.hasUpstreams {
			reason = "an upstream is available"
		}
		t.LogDecision(core.Decision{Component: "dispatch", Choice: "usable", Reason: reason, Score: float64(n)})
		t.Post(core.UpstreamsAvailable{Count: n})
	}
}
