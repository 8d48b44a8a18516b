package dispatch

import (
	"fmt"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// newItem returns the queue item of an attempt that has just arrived.
func (p *pool) newItem(m *core.PlacementRequest, from core.HostID, now time.Time) *admission.Item {
	item := &admission.Item{
		Request: *m, EntryHost: from, ArrivedAt: now.Add(-m.Waited), QueuedAt: now, Deadline: now.Add(m.Remaining),
		Level: p.leastUrgent.Number(), Work: p.workOf(m),
	}
	p.hasTargets = m.Target > 0
	if m.Priority.IsSet() {
		item.Level = m.Priority.Number()
	}
	if m.CallerRemaining > 0 {
		item.CallerDeadline = now.Add(m.CallerRemaining)
	}
	prefill := time.Duration(0)
	if !m.Prefilled {
		prefill = p.latency.prefillTime(m.PromptTokens)
	}
	item.SortTime = item.ArrivedAt.Add(shortJobFactor * prefill)
	if m.Target > 0 {
		// By the latest start, but with short work before long.
		item.SortTime = item.SortTime.Add(m.Target - prefill)
	}
	if !m.Urgent && !m.Prefilled && (!m.PlainService || m.Target > 0) {
		// Urgent attempts always count as on time, and so do calls to plain services without a target and prefilled attempts,
		// whose KV cache expires soon.
		item.LateAt = p.lateAt(item)
	}
	if m.Patience > 0 && !m.Urgent && m.LocalLoad == nil && m.Attempt.Number == 1 {
		// A host that places attempts itself knows too little of the load for a forecast. After a failed attempt, the caller may
		// not be able to come back.
		item.LastStart = core.Earlier(item.Deadline, item.ArrivedAt.Add(m.Patience-p.neededTime(m)))
	}
	return item
}

// tooLarge returns the failure of an attempt that no engine of the pool can ever hold, or nil.
func (p *pool) tooLarge(m *core.PlacementRequest) *core.Failure {
	needed := p.memoryNeeded(m)
	if needed == 0 || needed <= p.largest {
		return nil
	}
	// Engines may have been announced since the last sweep.
	if p.largest = p.largestMemory(); p.largest == 0 || needed <= p.largest {
		return nil
	}
	return core.Fail(core.KindOverloaded, "the request needs %d tokens of engine memory and the largest engine of pool %s has %d",
		needed, p.id, p.largest)
}

// decide decides on an attempt that was queued and not placed, and tells its entry host.
func (c *component) decide(t *core.Turn, pl *pool, item *admission.Item) {
	m := &item.Request
	if pl.isEvacuated() {
		pl.queue.Remove(m.Attempt)
		c.refuseOnArrival(t, pl, item, pl.evacuatedFailure())
		c.refuseEvacuated(t, pl)
		return
	}
	if wait, ok := pl.statedWait(m, t.Now); ok && (!item.IsLate() || wait > m.Remaining) {
		pl.queue.Remove(m.Attempt)
		f := core.Fail(core.KindOverloaded, "all upstreams of pool %s want no request for a time", m.Pool)
		f.RetryAfter = wait
		c.refuseOnArrival(t, pl, item, f)
		return
	}
	if own, ok := pl.nextTurn(item, t.Now); ok && own.wait > m.Remaining && (!item.IsLate() || m.Target > 0) {
		pl.queue.Remove(m.Attempt)
		c.refuseOnArrival(t, pl, item, pl.overloaded(item, t.Now))
		return
	}
	if pl.canForecast(t.Now) {
		capacity := pl.admissionCapacity(t.Now)
		d := pl.queue.Decide(item, t.Now, &capacity)
		if d.Verdict == admission.Reject {
			c.refuse(t, pl, &d, "no upstream would be free in time")
			return
		}
		t.LogDecision(admissionDecision(&d, "wait", "no upstream is free", t.Now))
	}
	if pl.central && m.PlainService {
		c.noticeLater(t, pl, item)
		return
	}
	c.sendQueued(t, item.EntryHost, m.Attempt)
}

// canForecast reports whether the pool can take work, so that a forecast of when it does so is possible.
func (p *pool) canForecast(now time.Time) bool {
	return p.decodeCandidates.Len() > 0 && !p.isAwaitingClaims(now)
}

// review refuses the queued attempts of a pool that can't start in time any more.
func (c *component) review(t *core.Turn, pl *pool) {
	if pl.queue.Len() == 0 || !pl.canForecast(t.Now) {
		return
	}
	capacity := pl.admissionCapacity(t.Now)
	decisions := pl.queue.Review(t.Now, &capacity)
	for i := range decisions {
		reason := "no upstream would be free in time any more"
		if decisions[i].Verdict == admission.Displace {
			reason = "more urgent requests take the upstreams until it is too late"
		}
		c.refuse(t, pl, &decisions[i], reason)
	}
}

// makeRoom makes room in a full queue for a new attempt and reports whether there is some.
func (c *component) makeRoom(t *core.Turn, pl *pool, item *admission.Item) bool {
	capacity := pl.admissionCapacity(t.Now)
	d, ok := pl.queue.MakeRoom(item, t.Now, &capacity)
	if ok {
		c.refuse(t, pl, &d, "the queue is full of more urgent requests")
	}
	return ok
}

// refuseOutside refuses the queued attempts that may run only in regions in which the pool has no upstream.
func (c *component) refuseOutside(t *core.Turn, pl *pool) {
	isOutside := pl.outsideChecker(t.Now)
	for _, item := range pl.queue.RemoveWhere(func(item *admission.Item) bool { return isOutside(&item.Request) }) {
		c.refuseQueued(t, pl, item, pl.outside(&item.Request))
	}
}

// refuseGoneVersions refuses the queued attempts of streams whose software version is gone.
func (c *component) refuseGoneVersions(t *core.Turn, pl *pool) {
	for _, item := range pl.queue.RemoveWhere(func(item *admission.Item) bool { return pl.lacksVersion(&item.Request, t.Now) }) {
		c.refuseQueued(t, pl, item, pl.versionGone(&item.Request))
	}
}

// refuseQueued refuses an attempt that was removed from the queue for another reason than a forecast.
func (c *component) refuseQueued(t *core.Turn, pl *pool, item *admission.Item, m core.PlacementRefused) {
	pl.queue.Counts.ByPriority[item.Level].RefusedLater++
	d := admission.Decision{Item: item, Verdict: admission.Reject, RetryAfter: m.Failure.RetryAfter}
	t.LogDecision(admissionDecision(&d, "reject", m.Failure.Message, t.Now))
	t.Send(item.EntryHost, m)
}

// expire refuses the attempts whose wait for a placement is over, or all of them if the pool has no upstream that could serve
// them.
func (c *component) expire(t *core.Turn, pl *pool, noUpstream, unserved bool) {
	capacity := pl.admissionCapacity(t.Now)
	decisions := pl.queue.Expire(t.Now, &capacity, func(item *admission.Item) bool {
		return unserved || core.Due(item.Deadline, t.Now)
	})
	for i := range decisions {
		d := &decisions[i]
		failure := pl.overloaded(d.Item, t.Now)
		switch {
		case noUpstream:
			failure = core.Fail(core.KindNoUpstream, "pool %s has no upstream", pl.id)
		case failure.RetryAfter == 0 && pl.canForecast(t.Now):
			failure.RetryAfter = d.RetryAfter
		}
		d.RetryAfter = failure.RetryAfter
		t.LogDecision(admissionDecision(d, "expire", failure.Message, t.Now))
		t.Send(d.Item.EntryHost, core.PlacementRefused{Attempt: d.Item.Request.Attempt, Failure: *failure})
	}
}

// refuse tells the entry host of an attempt that was removed from the queue that it is refused, and logs the forecast.
func (c *component) refuse(t *core.Turn, pl *pool, d *admission.Decision, reason string) {
	f := core.Fail(core.KindOverloaded, "%s (pool %s)", reason, pl.id)
	f.RetryAfter = d.RetryAfter
	choice := "reject"
	if d.Verdict == admission.Displace {
		choice = "displace"
	}
	t.LogDecision(admissionDecision(d, choice, reason, t.Now))
	t.Send(d.Item.EntryHost, core.PlacementRefused{Attempt: d.Item.Request.Attempt, Failure: *f})
}

// refuseOnArrival refuses an attempt for another reason than a forecast.
func (c *component) refuseOnArrival(t *core.Turn, pl *pool, item *admission.Item, f *core.Failure) {
	pl.queue.Counts.ByPriority[item.Level].RefusedOnArrival++
	d := admission.Decision{Item: item, Verdict: admission.Reject, RetryAfter: f.RetryAfter}
	t.LogDecision(admissionDecision(&d, "reject", f.Message, t.Now))
	t.Send(item.EntryHost, core.PlacementRefused{Attempt: item.Request.Attempt, Failure: *f})
}

// admissionDecision returns the log entry of a decision of the admission.
func admissionDecision(d *admission.Decision, choice, reason string, now time.Time) core.Decision {
	m := &d.Item.Request
	out := core.Decision{
		Component: "dispatch", Choice: choice, Reason: reason + " (" + forecastText(d, now) + ")", Request: m.Attempt.Request,
		Attempt: m.Attempt.Number, Account: m.Account, Pool: m.Pool, RetryAfter: d.RetryAfter,
	}
	if d.Forecast.Known {
		out.Forecast = max(time.Nanosecond, d.Forecast.Wait)
	}
	return out
}

// forecastText describes an attempt, the work ahead of it and until when it must start.
func forecastText(d *admission.Decision, now time.Time) string {
	text := fmt.Sprintf("priority %d", d.Item.Level)
	if d.Item.IsLate() {
		text += ", late"
	}
	if !d.Forecast.Known {
		return text + ", no forecast"
	}
	text += fmt.Sprintf(", %.0f tokens and %.0f attempts ahead, %.0f tokens more urgent",
		d.Forecast.Ahead.Memory, d.Forecast.Ahead.Slots, d.Forecast.MoreUrgent.Memory)
	if !d.Item.LastStart.IsZero() {
		text += ", must start within " + max(0, d.Item.LastStart.Sub(now)).Round(time.Millisecond).String()
	}
	return text
}
