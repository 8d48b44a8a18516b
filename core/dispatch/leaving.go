package dispatch

import (
	"fmt"
	"maps"
	"time"

	"oleanderlever/core"
)

// leavingTTL is how long it is remembered that an incarnation is leaving after the last report on it. Replicas that have not
// heard of it keep its announcement for staleTimeout.
const leavingTTL = 2 * staleTimeout

// leavingMark is the latest incarnation of an upstream that is known to be leaving; the earlier ones have ended. It may have
// been reported before the incarnation's announcement.
type leavingMark struct {
	incarnation uint64
	expires     time.Time
}

// rememberLeaving records that an incarnation of an upstream is leaving and reports whether that is new.
func (c *component) rememberLeaving(t *core.Turn, id core.UpstreamID, incarnation uint64) bool {
	mark, known := c.leaving[id]
	if known && incarnation < mark.incarnation {
		return false
	}
	isNew := !known || incarnation > mark.incarnation
	if known || len(c.leaving) < c.limits.Upstreams {
		c.leaving[id] = leavingMark{incarnation: incarnation, expires: t.Now.Add(leavingTTL)}
	}
	if isNew {
		t.Post(core.UpstreamLeaving{ID: id, Incarnation: incarnation, Leaving: true})
	}
	return isNew
}

// isLeaving reports whether an incarnation of an upstream is known to be leaving, and remembers that for longer.
func (c *component) isLeaving(t *core.Turn, id core.UpstreamID, incarnation uint64) bool {
	mark, known := c.leaving[id]
	if !known || incarnation > mark.incarnation {
		return false
	}
	mark.expires = t.Now.Add(leavingTTL)
	c.leaving[id] = mark
	return true
}

// markLeaving stops placing requests at an incarnation of an upstream and at earlier ones, and reports whether that is new.
func (c *component) markLeaving(t *core.Turn, id core.UpstreamID, incarnation uint64, reason string) bool {
	isNew, marked := c.rememberLeaving(t, id, incarnation), false
	for _, pl := range c.sortedPools() {
		u := pl.upstreams[id]
		if u == nil || u.Leaving || u.Incarnation > incarnation {
			continue
		}
		u.Leaving, marked = true, true
		t.Post(core.UpstreamLeaving{ID: id, Incarnation: u.Incarnation, Leaving: true})
		pl.refresh(u, t.Now, c.config.Policy(pl.id))
		t.LogDecision(core.Decision{Component: "dispatch", Choice: "left", Reason: reason, Pool: pl.id, Target: string(id)})
	}
	if isNew && !marked {
		reason = fmt.Sprintf("%s; its incarnation %d is not in use here", reason, incarnation)
		t.LogDecision(core.Decision{Component: "dispatch", Choice: "left", Reason: reason, Target: string(id)})
	}
	return isNew || marked
}

// handleDeregistration stops placing attempts on an upstream that has deregistered.
func (c *component) handleDeregistration(t *core.Turn, m core.UpstreamDeregistered) {
	if m.Incarnation == 0 {
		u := c.latestIncarnation(m.ID)
		if u == nil || u.firstSeen.After(t.Now.Add(-m.Age)) {
			// An incarnation that was announced after the deregistration is another one.
			return
		}
		m.Incarnation = u.Incarnation
	}
	c.markLeaving(t, m.ID, m.Incarnation, "the upstream deregistered")
}

// latestIncarnation returns the record of an upstream's latest incarnation in any pool, or nil.
func (c *component) latestIncarnation(id core.UpstreamID) *upstream {
	var latest *upstream
	for _, pl := range c.sortedPools() {
		if u := pl.upstreams[id]; u != nil && (latest == nil || u.Incarnation > latest.Incarnation) {
			latest = u
		}
	}
	return latest
}

// leavingStated stops placing requests at an upstream that said that it is leaving, and tells the other hosts.
func (c *component) leavingStated(t *core.Turn, e core.UpstreamStated, u *upstream) {
	left := core.UpstreamDeregistered{ID: e.Statement.Upstream, Incarnation: e.Incarnation, Stated: true}
	if left.Incarnation == 0 && u != nil {
		left.Incarnation = u.Incarnation
	}
	switch {
	case u != nil || c.localPlacement:
		isNew := (u != nil || left.Incarnation != 0) &&
			c.markLeaving(t, left.ID, left.Incarnation, "the upstream said in a response that it is leaving")
		if isNew && c.localPlacement {
			t.Post(core.ShareObservation{Observation: core.Observation{UpstreamLeaving: &left}})
		}
	default:
		if dispatcher, ok := c.dispatchers.DispatcherOf(e.Pool, false, c.members); ok {
			t.Send(dispatcher.Host, core.UpstreamList{Deregistered: []core.UpstreamDeregistered{left}})
		}
	}
}

// leavingHeard applies that an upstream is leaving, as another host has heard, and reports whether that is new.
func (c *component) leavingHeard(t *core.Turn, left *core.UpstreamDeregistered) bool {
	return c.markLeaving(t, left.ID, left.Incarnation, "another host heard that the upstream is leaving")
}

// forgetLeaving removes the marks that have expired, unless the upstream is still in a pool.
func (c *component) forgetLeaving(now time.Time) {
	maps.DeleteFunc(c.leaving, func(id core.UpstreamID, mark leavingMark) bool {
		return core.Due(mark.expires, now) && c.latestIncarnation(id) == nil
	})
}
