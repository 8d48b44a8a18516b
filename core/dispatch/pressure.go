package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// In mixed placement each host places its own calls to a plain service, and none knows how many of the slots are in use. While
// the pool is under pressure, its dispatcher places the calls of all hosts, as it does while an upstream has a rate limit. Hosts
// find pressure from their own calls and tell each other by gossip; the dispatcher renews it for as long as the load lasts.
const (
	// pressureRenewal is the time between two renewals by the dispatcher. Hosts bear to miss three of them
	// (core.MaxPoolPressure). passOnInterval is the shortest time after which a host tells others again.
	pressureRenewal = time.Second
	passOnInterval  = pressureRenewal / 2
	// The dispatcher stops the renewals once it has found less than busyShare of the slots reserved, and no call queued for
	// noticeDelay, in calmTime. Hosts that place their own calls need that much room, since they choose upstreams without knowing
	// their load. A shorter wait is no sign of pressure: a clump of calls may take all slots of a pool with little load.
	busyShare = 0.6
	calmTime  = 3 * time.Second
	// slotSampleInterval is the time between two samples of the reserved slots, slotSampleWeight the weight of the newest one in
	// their moving average, which thus covers about a second: a clump of calls is not a busy pool.
	slotSampleInterval = 100 * time.Millisecond
	slotSampleWeight   = 0.1
	// minRejections calls that full upstreams reject within rejectionWindow are a sign of pressure.
	minRejections   = 2
	rejectionWindow = time.Second
	// Of callSamples calls in maxSampleAge more than half must be late for a sign of pressure.
	callSamples  = 10
	maxSampleAge = 10 * time.Second
	// callSampleInterval is the shortest time between two calls whose time is measured: a pause of the host or of an upstream
	// delays all calls that run, and these end at the same time.
	callSampleInterval = 10 * time.Millisecond
	// minIgnoredPressure is how long late and rejected calls are ignored if the dispatcher always had free slots although hosts
	// had found pressure, for instance since all upstreams are slow. It doubles each time, up to core.MaxIgnoredPressure, and includes
	// the time until hosts miss the renewals.
	minIgnoredPressure = 15 * time.Second
)

// pressure is what a host knows of the pressure on a pool, as an entry host and as the pool's dispatcher.
type pressure struct {
	// until is when the pressure ends unless it is renewed, and zero without pressure; beganAt is when it began here.
	until   time.Time
	beganAt time.Time
	// ignoredUntil is until when late and rejected calls are no sign of pressure, and ignoredFor the last time that this host
	// found for that as the dispatcher.
	ignoredUntil time.Time
	ignoredFor   time.Duration
	rejections   []rejection
	calls        []callSample
	// sampledAt is when the last call was measured.
	sampledAt time.Time
	// load is the moving average of the reserved slots and queued calls, as a share of the slots, as of loadAt.
	load   float64
	loadAt time.Time
	// busyAt is when the dispatcher last found the pool busy, or took it to be; toldAt is when this host last told others of the
	// pressure.
	busyAt time.Time
	toldAt time.Time
	// judged is false until the dispatcher has found whether the pool is as busy as the hosts that found pressure took it to be.
	judged bool
}

// rejection is a call that a full upstream rejected.
type rejection struct {
	upstream core.UpstreamID
	at       time.Time
}

// callSample is a call that ended at an upstream.
type callSample struct {
	upstream core.UpstreamID
	at       time.Time
	late     bool
}

// isPressured reports whether the pool is under pressure as far as this host knows.
func (p *pool) isPressured(now time.Time) bool { return now.Before(p.pressure.until) }

// countsPressure reports whether an ended attempt may be a sign of pressure: a call that this host placed on its own, with a
// target.
func (c *component) countsPressure(pl *pool, r *reservation, now time.Time) bool {
	return c.dispatchers.IsMixed() && pl.engine == nil && r.request.PlainService && r.request.Target > 0 && r.entryHost == c.self &&
		!pl.central && !now.Before(pl.pressure.ignoredUntil)
}

// callRejected looks for signs of pressure in a call that an upstream rejected without saying when it wants the next one. One
// upstream that rejects calls while others do not is none.
func (c *component) callRejected(t *core.Turn, pl *pool, r *reservation, by *upstream) {
	if !c.countsPressure(pl, r, t.Now) || by.Leaving {
		return
	}
	p := &pl.pressure
	p.rejections = slices.DeleteFunc(p.rejections, func(r rejection) bool { return t.Now.Sub(r.at) >= rejectionWindow })
	p.rejections = append(p.rejections, rejection{upstream: by.ID, at: t.Now})
	rejecting := map[core.UpstreamID]bool{}
	for _, r := range p.rejections {
		rejecting[r.upstream] = true
	}
	if len(p.rejections) >= minRejections && len(rejecting) >= min(2, pl.presentCount(t.Now)) {
		c.pressureFound(t, pl, "full upstreams rejected calls")
	}
}

// callEnded measures a call that an upstream has executed, and looks for signs of pressure in its time.
func (c *component) callEnded(t *core.Turn, pl *pool, r *reservation, took time.Duration) {
	p := &pl.pressure
	if u := pl.upstreams[r.grant.Decode]; u != nil && took > 0 {
		u.lastEnded = later(u.lastEnded, r.reservedAt)
	}
	if took <= 0 || r.claimed || t.Now.Sub(p.sampledAt) < callSampleInterval {
		return
	}
	p.sampledAt = t.Now
	pl.latency.addCall(took, t.Now.Sub(r.reservedAt))
	if !c.countsPressure(pl, r, t.Now) {
		return
	}
	if len(p.calls) == callSamples {
		p.calls = slices.Delete(p.calls, 0, 1)
	}
	p.calls = append(p.calls, callSample{upstream: r.grant.Decode, at: t.Now, late: took > r.request.Target})
	if len(p.calls) == callSamples && t.Now.Sub(p.calls[0].at) <= maxSampleAge && areMostLate(p.calls, pl.presentCount(t.Now)) {
		c.pressureFound(t, pl, "most of the last calls took longer than their target")
	}
}

// areMostLate reports whether most of the calls are late, and also most of those at other upstreams than the one with the most
// late calls, if the pool has several: that one may be slow for a reason of its own.
func areMostLate(calls []callSample, upstreams int) bool {
	lateAt, late := map[core.UpstreamID]int{}, 0
	for _, s := range calls {
		if s.late {
			late++
			lateAt[s.upstream]++
		}
	}
	if 2*late <= len(calls) {
		return false
	}
	if upstreams < 2 {
		return true
	}
	var worst core.UpstreamID
	for _, id := range slices.Sorted(maps.Keys(lateAt)) {
		if lateAt[id] > lateAt[worst] {
			worst = id
		}
	}
	others := 0
	for _, s := range calls {
		if s.upstream != worst {
			others++
		}
	}
	return 2*(late-lateAt[worst]) > others
}

// presentCount returns the number of upstreams that would get calls if none of them had rejected any.
func (p *pool) presentCount(now time.Time) int {
	n := 0
	for _, u := range p.upstreams {
		if !u.Leaving && p.heartbeatReference(now).Sub(u.lastSeen) < p.heartbeatTimeout {
			n++
		}
	}
	return n
}

// pressureFound begins the pressure that this host has found and tells the other hosts.
func (c *component) pressureFound(t *core.Turn, pl *pool, reason string) {
	c.beginFoundPressure(t, pl, core.MaxPoolPressure, reason)
	c.sharePressure(t, pl)
}

// sharePressure tells the other hosts that the pool is under pressure.
func (c *component) sharePressure(t *core.Turn, pl *pool) {
	pl.pressure.toldAt = t.Now
	t.Post(core.ShareObservation{Observation: core.Observation{PoolPressure: &core.PoolPressure{
		Pool: pl.id, Remaining: pl.pressure.until.Sub(t.Now),
	}}})
}

// beginPressure begins or extends the pressure on a pool.
func (c *component) beginPressure(t *core.Turn, pl *pool, remaining time.Duration, reason string) (began bool) {
	p := &pl.pressure
	began = !pl.isPressured(t.Now)
	p.until = later(p.until, t.Now.Add(remaining))
	if !began {
		return false
	}
	p.beganAt, p.busyAt, p.judged = t.Now, time.Time{}, true
	p.calls, p.rejections = nil, nil
	// Calls that hosts placed on their own may have waited at the upstreams.
	pl.latency.resetCalls()
	pl.queue.Rates = admission.Rates{}
	for _, id := range slices.Sorted(maps.Keys(pl.upstreams)) {
		// The dispatcher sends upstreams no more than their slots, so that what they rejected before says nothing.
		u := pl.upstreams[id]
		u.refusals = refusals{statedUntil: u.refusals.statedUntil}
		pl.refresh(u, t.Now, c.config.Policy(pl.id))
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "pressure", Reason: reason + "; the pool's dispatcher places its calls", Pool: pl.id, Score: pl.pressure.load,
	})
	c.updateCentral(t, pl)
	c.scheduleSweep(t)
	return true
}

// beginFoundPressure begins or extends a pressure that a host has found. The dispatcher takes the pool to be busy for calmTime, and
// then judges that.
func (c *component) beginFoundPressure(t *core.Turn, pl *pool, remaining time.Duration, reason string) {
	if c.beginPressure(t, pl, remaining, reason) {
		pl.pressure.busyAt, pl.pressure.judged = t.Now, false
	}
}

// endPressure ends a pressure that was not renewed.
func (c *component) endPressure(t *core.Turn, pl *pool) {
	p := &pl.pressure
	if p.until.IsZero() || pl.isPressured(t.Now) {
		return
	}
	p.until = time.Time{}
	pl.latency.resetCalls()
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "pressureEnded", Reason: "not renewed by the pool's dispatcher; each host places its own calls",
		Pool: pl.id, Score: p.load, Age: t.Now.Sub(p.beganAt),
	})
}

// pressureHeard applies what another host has found of the load on a pool, and reports whether it is worth telling others.
func (c *component) pressureHeard(t *core.Turn, m *core.PoolPressure, source core.HostID) bool {
	pl := c.pools[m.Pool]
	if pl == nil || pl.engine != nil || !c.dispatchers.IsMixed() {
		return false
	}
	p := &pl.pressure
	if m.IgnoreFor > 0 {
		until := t.Now.Add(min(m.IgnoreFor, core.MaxIgnoredPressure))
		isNew := until.Sub(p.ignoredUntil) >= passOnInterval
		p.ignoredUntil = later(p.ignoredUntil, until)
		return isNew
	}
	remaining := min(m.Remaining, core.MaxPoolPressure)
	c.beginFoundPressure(t, pl, remaining, "host "+string(source)+" found it")
	if t.Now.Sub(p.toldAt) < passOnInterval {
		return false
	}
	p.toldAt = t.Now
	return true
}

// pressureAsked records that an entry host has asked for a placement since the pool is under pressure. This host may have
// started after that was found; it renews the pressure only if it finds the pool busy itself.
func (c *component) pressureAsked(t *core.Turn, pl *pool, from core.HostID) {
	if pl.engine == nil && c.dispatchers.IsMixed() {
		c.beginPressure(t, pl, pressureRenewal, "host "+string(from)+" asked for a placement")
	}
}

// pressureGranted renews the pressure, since the dispatcher finds it and gossip may be lost.
func (c *component) pressureGranted(t *core.Turn, pl *pool, from core.HostID) {
	if from != c.self && pl.engine == nil && c.dispatchers.IsMixed() {
		c.beginPressure(t, pl, core.MaxPoolPressure, "the dispatcher "+string(from)+" found it")
	}
}

// sampleLoad samples the reserved slots of a pool that this host dispatches, and renews the pressure while the pool is busy.
func (c *component) sampleLoad(t *core.Turn, pl *pool) {
	p := &pl.pressure
	if !pl.isPressured(t.Now) || !pl.isDispatchedHere(t.Now) || t.Now.Sub(p.loadAt) < slotSampleInterval {
		return
	}
	slots, taken := 0, pl.queue.Len()
	pl.decodeCandidates.Ascend(func(u *upstream) bool {
		slots, taken = slots+u.Slots, taken+u.reservedSlots
		return true
	})
	if slots > 0 {
		share := float64(taken) / float64(slots)
		if t.Now.Sub(p.loadAt) > calmTime {
			p.load = 0
		}
		p.load += slotSampleWeight * (share - p.load)
	}
	p.loadAt = t.Now
	if p.load >= busyShare {
		pl.foundBusy(t.Now)
	}
	c.judgePressure(t, pl)
	if pl.isBusy(t.Now) && t.Now.Sub(p.toldAt) >= pressureRenewal {
		p.until = later(p.until, t.Now.Add(core.MaxPoolPressure))
		c.sharePressure(t, pl)
	}
}

// isDispatchedHere reports whether this host lately got requests for the pool as its dispatcher.
func (p *pool) isDispatchedHere(now time.Time) bool {
	return !p.lastRequest.IsZero() && now.Sub(p.lastRequest) < pressureRenewal
}

// foundBusy records that the dispatcher has found the pool busy.
func (p *pool) foundBusy(now time.Time) {
	p.pressure.busyAt, p.pressure.judged, p.pressure.ignoredFor = now, true, 0
}

// isBusy reports whether the dispatcher has found the pool busy in the last calmTime.
func (p *pool) isBusy(now time.Time) bool { return now.Sub(p.pressure.busyAt) < calmTime }

// judgePressure has hosts ignore the signs of pressure for a while if the pool was not busy since it began. Hosts that are asked
// instead of the pool's dispatcher see only a part of its calls.
func (c *component) judgePressure(t *core.Turn, pl *pool) {
	p := &pl.pressure
	if dispatcher, ok := c.dispatchers.DispatcherOf(pl.id, false, c.members); p.judged || pl.isBusy(t.Now) || !ok || dispatcher.Host != c.self {
		return
	}
	p.judged = true
	p.ignoredFor = min(max(2*p.ignoredFor, minIgnoredPressure), core.MaxIgnoredPressure)
	p.ignoredUntil = t.Now.Add(p.ignoredFor)
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "ignorePressure", Pool: pl.id, Score: p.load, Age: t.Now.Sub(p.beganAt),
		Reason: "slots were free all the time; late and rejected calls are no sign of pressure for " + p.ignoredFor.String(),
	})
	t.Post(core.ShareObservation{Observation: core.Observation{PoolPressure: &core.PoolPressure{Pool: pl.id, IgnoreFor: p.ignoredFor}}})
}
