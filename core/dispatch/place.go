package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// The attempts of one account are ordered by arrival time plus shortJobFactor times their estimated prefill time. A
// short prompt delays a long one little, but a short prompt behind a long one misses its target.
const shortJobFactor = 5

// handleRequest places or queues an attempt. Requests are resent until they get a response, so a known attempt gets
// its current state again.
func (c *component) handleRequest(t *core.Turn, from core.HostID, m core.PlacementRequest) {
	pl := c.pool(t, m.Pool)
	if c.passesToDispatcher(t, pl, from, &m) {
		return
	}
	if m.Pressure && from != c.self {
		c.pressureAsked(t, pl, from)
	}
	if m.LocalLoad == nil && (!m.PlainService || c.dispatchesPlainService(pl, from)) {
		c.requestClaims(t, pl)
	}
	if r := pl.reservations[m.Attempt]; r != nil {
		t.Send(from, r.grant)
		return
	}
	if item := pl.queue.Find(m.Attempt); item != nil {
		item.Request.LocalLoad = m.LocalLoad
		c.sendQueued(t, from, m.Attempt)
		return
	}
	if pl.isOutside(&m, t.Now) {
		t.Send(from, pl.outside(&m))
		return
	}
	if pl.lacksVersion(&m, t.Now) {
		t.Send(from, pl.versionGone(&m))
		return
	}
	item := pl.newItem(&m, from, t.Now)
	if f := pl.tooLarge(&m); f != nil {
		c.refuseOnArrival(t, pl, item, f)
		return
	}
	if pl.queue.Len() >= c.limits.Requests && !c.makeRoom(t, pl, item) {
		c.refuseOnArrival(t, pl, item, core.Fail(core.KindOverloaded, "the queue of pool %s is full", m.Pool))
		return
	}
	pl.queue.Push(item)
	c.placeQueued(t, pl)
	if pl.queue.Find(m.Attempt) == item {
		c.decide(t, pl, item)
		return
	}
	pl.queue.Rates.Demanded(t.Now, item.Level, item.Work)
}

// dispatchesPlainService reports whether this host places calls to a plain service for other hosts too: with mixed placement
// it does while an upstream has a limit or is cold, or the pool is under pressure.
func (c *component) dispatchesPlainService(pl *pool, from core.HostID) bool {
	return c.dispatchers.IsMixed() && (pl.central || from != c.self)
}

// passesToDispatcher reports whether the entry plug-in is about to send a call of this host to the pool's dispatcher, since it
// has just learned that this host does not place it any more.
func (c *component) passesToDispatcher(t *core.Turn, pl *pool, from core.HostID, m *core.PlacementRequest) bool {
	if from != c.self || !m.PlainService || m.LocalLoad != nil || !pl.central || !pl.centralSince.Equal(t.Now) {
		return false
	}
	dispatcher, ok := c.dispatchers.DispatcherOf(pl.id, false, c.members)
	return ok && dispatcher.Host != c.self
}

// sendQueued tells an entry host that its attempt is queued, so that it does not take this dispatcher for unresponsive.
func (c *component) sendQueued(t *core.Turn, to core.HostID, a core.AttemptID) {
	if c.dispatchers.IsMixed() && to != c.self {
		t.Send(to, core.PlacementQueued{Attempt: a})
	}
}

// queuedNotice is a queued call whose entry host is to be told that it is queued, unless it is placed by then.
type queuedNotice struct {
	item *admission.Item
	at   time.Time
}

const (
	// noticeDelay is the time after which the entry host of a call is told that it is queued: most calls are placed before, and
	// the entry host passes over a dispatcher that says nothing for 100 ms. Notices that are due up to noticeSpan later are sent
	// at the same time.
	noticeDelay = 50 * time.Millisecond
	noticeSpan  = 20 * time.Millisecond
)

func (c *component) noticeLater(t *core.Turn, pl *pool, item *admission.Item) {
	at := t.Now.Add(noticeDelay)
	pl.notices = append(pl.notices, queuedNotice{item: item, at: at})
	c.nextNotice = core.Earlier(c.nextNotice, at)
}

// sendNotices tells entry hosts of the calls that have been queued for a while.
func (c *component) sendNotices(t *core.Turn) {
	c.nextNotice = time.Time{}
	for _, pl := range c.sortedPools() {
		sent := 0
		for ; sent < len(pl.notices) && pl.notices[sent].at.Sub(t.Now) <= noticeSpan; sent++ {
			if item := pl.notices[sent].item; pl.queue.Find(item.Request.Attempt) == item {
				c.sendQueued(t, item.EntryHost, item.Request.Attempt)
				pl.foundBusy(t.Now)
			}
		}
		pl.notices = slices.Delete(pl.notices, 0, sent)
		if len(pl.notices) > 0 {
			c.nextNotice = core.Earlier(c.nextNotice, pl.notices[0].at)
		}
	}
}

// placeQueued places queued attempts until none fits. It places none while claims are outstanding.
func (c *component) placeQueued(t *core.Turn, pl *pool) {
	if pl.isAwaitingClaims(t.Now) {
		return
	}
	for c.placeNext(t, pl) {
	}
	if pl.queue.Len() > 0 {
		c.nextSweep = core.Earlier(c.nextSweep, pl.nextAllowed(t.Now))
	}
}

// placeNext places one attempt, the first in the order of the queue that fits, and reports whether it did. Late attempts get
// the remaining capacity. Those that can still be served are not refused, since a late response is worth more than none.
func (c *component) placeNext(t *core.Turn, pl *pool) bool {
	pl.demote(t.Now)
	var r *reservation
	var chosen selection
	placed := pl.queue.Next(t.Now, func() bool { return pl.canPlaceLate(t.Now) }, func(item *admission.Item) admission.Result {
		var result admission.Result
		r, chosen, result = pl.place(item, t.Now, c.epoch)
		return result
	})
	if placed == nil {
		return false
	}
	if placed.IsLate() && r.prefillTokens > 0 {
		r.latePrefill = true
		pl.latePrefills++
	}
	pl.queue.Counts.Started(placed, t.Now)
	t.LogDecision(pl.decision(r, chosen, t.Now, placed))
	t.Send(placed.EntryHost, r.grant)
	return true
}

// decision returns the log entry of a placement. Score and Alternatives are those of the prefill engine if there is
// one, and Age is that of the decode upstream.
func (p *pool) decision(r *reservation, chosen selection, now time.Time, item *admission.Item) core.Decision {
	waited := now.Sub(item.QueuedAt)
	target := string(r.grant.Decode)
	if r.grant.Prefill != "" {
		target = string(r.grant.Prefill) + ">" + target
	}
	age, software := time.Duration(0), core.SoftwareVersion("")
	if u := p.upstreams[r.grant.Decode]; u != nil {
		age, software = now.Sub(u.lastSeen), u.SoftwareVersion
	}
	return core.Decision{
		Component: "dispatch", Choice: "place", Age: age,
		Reason:  "lowest score (queued for " + waited.Round(time.Microsecond).String() + ")",
		Request: r.request.Attempt.Request, Attempt: r.request.Attempt.Number, Account: r.request.Account,
		Pool:   r.request.Pool,
		Target: target, Score: chosen.score, Alternatives: chosen.alternatives, Forecast: item.Forecast.Wait,
		Software: software,
	}
}
