package dispatch

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 60
	// sweepEvery is how often the dispatcher looks at queues, silent upstreams and cancels.
	sweepEvery = 100 * time.Millisecond
	// noUpstreamAfter is how long attempts wait for a pool's first upstream.
	noUpstreamAfter = 2 * time.Second
	// cancelEvery is how often a cancel is repeated until the engine confirms; cancelFor bounds it, since an engine
	// that has been silent for so long has dropped out of the pool.
	cancelEvery = 500 * time.Millisecond
	cancelFor   = 30 * time.Second
	// maxPools bounds the pools of one dispatcher, since any upstream may name one.
	maxPools = 1024
)

// cancelKey names one cancel at one upstream.
type cancelKey struct {
	attempt core.AttemptID
	addr    netip.AddrPort
}

// cancel is a cancel that the engine has not confirmed.
type cancel struct {
	resend time.Time
	till   time.Time
}

type part struct {
	self    core.HostID
	limits  core.Limits
	epoch   core.Epoch
	leader  core.HostID
	tables  *core.Tables
	members []core.Member
	pools   map[core.PoolID]*pool
	cancels map[cancelKey]*cancel
	sweep   time.Time
	// nextAudit is when the pools are gone through next.
	nextAudit time.Time
}

func init() { core.Register(Plugin()) }

// Plugin returns the plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "dispatch", Rank: rank, New: newPart} }

func newPart(env core.Env) core.Part {
	p := &part{
		self: env.Self, limits: env.Limits, tables: &core.Tables{},
		pools: map[core.PoolID]*pool{}, cancels: map[cancelKey]*cancel{},
	}
	return core.Part{Handle: p.handle, NextDeadline: func() time.Time { return p.sweep }, Gauges: p.gauges}
}

func (p *part) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.TablesChanged:
		p.tables = e.Tables
	case core.LeaderKnown:
		p.epoch, p.leader = e.Epoch, e.Leader
	case core.MembersChanged:
		p.membersChanged(t, e)
	case core.UpstreamAnnounced:
		p.forward(t, e.Announcement.Pool, core.UpstreamNews{Announcement: &e.Announcement})
	case core.UpstreamReported:
		p.forward(t, e.Report.Pool, core.UpstreamNews{Report: &e.Report})
	case core.CancelEnded:
		p.cancelEnded(e)
	case core.Tick:
		p.tick(t)
	case core.Received:
		p.receive(t, e.From, e.Message)
	}
}

func (p *part) receive(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.UpstreamNews:
		p.news(t, m)
	case core.PlaceAsk:
		p.asked(t, from, m)
	case core.Claim:
		p.claimed(t, from, m)
	case core.PlaceDone:
		p.done(t, from, m)
	case core.Holding:
		p.holding(t, from, m)
	}
}

// forward passes an upstream's words on to the pool's dispatcher.
func (p *part) forward(t *core.Turn, id core.PoolID, m core.UpstreamNews) {
	if owner, ok := Owner(id, p.members); ok {
		t.Send(owner.Host, m)
	}
}

func (p *part) pool(t *core.Turn, id core.PoolID) *pool {
	pl := p.pools[id]
	if pl == nil {
		pl = newPool(id, t.Now)
		p.pools[id] = pl
	}
	p.wake(t)
	return pl
}

func (p *part) wake(t *core.Turn) {
	if p.sweep.IsZero() {
		p.sweep = t.Now.Add(sweepEvery)
	}
}

func (p *part) news(t *core.Turn, m core.UpstreamNews) {
	if a := m.Announcement; a != nil {
		if p.pools[a.Pool] == nil && len(p.pools) >= maxPools {
			return
		}
		pl := p.pool(t, a.Pool)
		if pl.upstreams[a.ID] != nil || len(pl.upstreams) < p.limits.Upstreams {
			pl.announce(*a, t.Now)
			pl.refresh(pl.upstreams[a.ID], t.Now, p.tables.Policy(pl.id))
		}
		if want, ok := p.tables.Assignment(a.ID); ok && !want.Met(a) && !a.Leaving {
			t.Send(p.leader, core.OrderWanted{Announcement: *a})
		}
		p.serve(t, pl)
	}
	if r := m.Report; r != nil {
		p.reported(t, r)
	}
}

func (p *part) reported(t *core.Turn, r *core.Report) {
	pl := p.pool(t, r.Pool)
	u := pl.upstreams[r.ID]
	if u == nil {
		return
	}
	u.reported(r, pl.hintLimit())
	for _, a := range pl.strangers(u, r, t.Now) {
		p.cancel(t, a, u.Addr)
	}
}

// shortFirst is how many times its prefill an attempt may be passed by later ones of its own account: a short prompt
// costs the long one little, and the other way round it costs the short one its target.
const shortFirst = 5

func (p *part) asked(t *core.Turn, from core.HostID, m core.PlaceAsk) {
	pl := p.pool(t, m.Pool)
	if h := pl.held[m.Attempt]; h != nil {
		t.Send(from, h.placed)
		return
	}
	if pl.fresh.has(m.Attempt) || pl.late.has(m.Attempt) {
		return
	}
	if pl.waiting() >= p.limits.Requests {
		t.Send(from, core.PlaceRefused{Attempt: m.Attempt, Failure: *core.Fail(core.KindOverloaded, "the queue of %s is full", m.Pool)})
		return
	}
	w := &waiting{ask: m, from: from, arrived: t.Now.Add(-m.Waited), queued: t.Now, deadline: t.Now.Add(m.Left)}
	w.rank = w.arrived.Add(shortFirst * pl.pace.backlog(m.Prompt))
	pl.fresh.push(w)
	p.serve(t, pl)
}

// serve places attempts until none finds room.
func (p *part) serve(t *core.Turn, pl *pool) {
	for p.placeNext(t, pl) {
	}
}

const (
	// maxPassed is how many attempts may be passed over because they need more memory than is free anywhere.
	maxPassed = 8
	// passedFor is how long an attempt may be passed over; after that memory is left to gather for it.
	passedFor = time.Second
	// lateEvery is how many placements go by before a late attempt is placed although fresh ones wait.
	lateEvery = 40
)

// placeNext places one attempt: of those that can still meet the target for the first token the next in fairness, and
// late ones in what is left. Under overload the capacity so goes to answers that count. Late attempts keep one
// placement in lateEvery, so none starves; refusing them was rejected, since a late answer is worth more than none.
func (p *part) placeNext(t *core.Turn, pl *pool) bool {
	pl.demote(t.Now)
	if pl.sinceLate >= lateEvery && pl.late.size() > 0 && p.placeFrom(t, pl, &pl.late) {
		return true
	}
	return p.placeFrom(t, pl, &pl.fresh) || (pl.idle(t.Now) && p.placeFrom(t, pl, &pl.late))
}

// placeFrom places the first attempt of a queue that finds room.
func (p *part) placeFrom(t *core.Turn, pl *pool, q *fairQueue) bool {
	var next *waiting
	var h *held
	var c choice
	passed := 0
	q.heads(func(w *waiting) bool {
		var v verdict
		h, c, v = pl.place(w, t.Now, p.epoch)
		if v == verdictPlaced {
			next = w
			return false
		}
		passed++
		return v == verdictNoMemory && passed < maxPassed && t.Now.Sub(w.queued) < passedFor
	})
	if next == nil {
		return false
	}
	q.pop(next)
	pl.sinceLate++
	if q == &pl.late {
		pl.sinceLate = 0
		pl.lateRuns = h.ask.Attempt
	}
	t.Decide(decision(h, c, t.Now.Sub(next.queued)))
	t.Send(next.from, h.placed)
	return true
}

func decision(h *held, c choice, waited time.Duration) core.Decision {
	target := string(h.placed.Decode)
	if h.placed.Prefill != "" {
		target = string(h.placed.Prefill) + ">" + target
	}
	return core.Decision{
		Part: "dispatch", Choice: "place", Reason: "lowest score after " + waited.Round(time.Microsecond).String() + " in the queue",
		Request: h.ask.Attempt.Request, Attempt: h.ask.Attempt.Number, Account: h.ask.Account, Pool: h.ask.Pool,
		Target: target, Score: c.score, Others: c.others,
	}
}

// unknownFor is how long an entry host may be missing from the member table because it has only just started.
const unknownFor = 5 * time.Second

// isGone reports whether the start of the entry host that has an attempt is over. A later start than the one in the
// member table is only news that has not come here yet.
func (p *part) isGone(h *held, now time.Time) bool {
	boot := p.bootOf(h.from)
	if boot == 0 {
		return now.Sub(h.since) >= unknownFor
	}
	return boot > h.ask.Boot
}

func (p *part) bootOf(h core.HostID) uint64 {
	i, ok := slices.BinarySearchFunc(p.members, h, func(m core.Member, h core.HostID) int { return cmp.Compare(m.Host, h) })
	if !ok {
		return 0
	}
	return p.members[i].Boot
}

// claimed takes over what another dispatcher had placed.
func (p *part) claimed(t *core.Turn, from core.HostID, m core.Claim) {
	pl := p.pool(t, m.Ask.Pool)
	if pl.held[m.Ask.Attempt] != nil {
		return
	}
	h := &held{ask: m.Ask, from: from, placed: m.Placed}
	if !m.Ask.Service {
		h.pieces = core.Pieces(m.Ask.Prompt + m.Ask.Output)
	}
	if !m.Decoding && m.Placed.Prefill != "" {
		h.prefill = m.Ask.Prompt
	}
	pl.reserve(h, t.Now)
}

func (p *part) done(t *core.Turn, from core.HostID, m core.PlaceDone) {
	t.Send(from, core.PlaceDoneReply{Attempt: m.Attempt, PrefillOnly: m.PrefillOnly})
	pl := p.pools[m.Pool]
	if pl == nil {
		return
	}
	h := pl.held[m.Attempt]
	if h == nil {
		pl.fresh.remove(m.Attempt)
		pl.late.remove(m.Attempt)
		return
	}
	if u := pl.upstreams[m.Failed]; u != nil {
		u.failed(t.Now)
		pl.refresh(u, t.Now, p.tables.Policy(pl.id))
		t.Decide(core.Decision{Part: "dispatch", Choice: "failure", Reason: "the upstream failed an attempt", Request: m.Attempt.Request, Attempt: m.Attempt.Number, Pool: m.Pool, Target: string(m.Failed), Score: float64(u.failures)})
	}
	if m.PrefillOnly {
		pl.prefilled(h, t.Now)
		pl.releasePrefill(h, t.Now)
		p.succeeded(pl, h.placed.Prefill)
		p.serve(t, pl)
		return
	}
	if m.First > 0 {
		pl.pace.started(m.First)
	}
	if m.Failed == "" && !m.Cancel {
		p.succeeded(pl, h.placed.Decode)
	}
	p.end(t, pl, h, m.Cancel)
	p.serve(t, pl)
}

const (
	// missedMost is how many lists in a row may lack an attempt before its place is freed, missedAfter how old it must be.
	missedMost  = 2
	missedAfter = 5 * time.Second
)

// holding frees places that the entry host does not have any more, and asks for claims of those unknown here.
func (p *part) holding(t *core.Turn, from core.HostID, m core.Holding) {
	pl := p.pool(t, m.Pool)
	named := map[core.AttemptID]bool{}
	var unknown []core.AttemptID
	for _, a := range m.Attempts {
		named[a] = true
		if pl.held[a] == nil {
			unknown = append(unknown, a)
		}
	}
	for _, a := range sortedAttempts(pl.held) {
		h := pl.held[a]
		if h.from != from {
			continue
		}
		h.missed++
		if named[a] {
			h.missed = 0
		}
		if h.missed >= missedMost && t.Now.Sub(h.since) >= missedAfter {
			p.end(t, pl, h, true)
		}
	}
	if len(unknown) > 0 {
		t.Send(from, core.HoldingUnknown{Attempts: unknown})
	}
	p.serve(t, pl)
}

func (p *part) succeeded(pl *pool, id core.UpstreamID) {
	if u := pl.upstreams[id]; u != nil {
		u.succeeded()
	}
}

// end frees what the ledger holds for an attempt and, where an engine may hold something too, cancels it there.
func (p *part) end(t *core.Turn, pl *pool, h *held, withCancel bool) {
	pl.release(h, t.Now)
	if !withCancel || h.ask.Service {
		return
	}
	p.cancel(t, h.ask.Attempt, h.placed.DecodeAddr)
	if h.placed.PrefillAddr != h.placed.DecodeAddr {
		p.cancel(t, h.ask.Attempt, h.placed.PrefillAddr)
	}
}

func (p *part) cancel(t *core.Turn, a core.AttemptID, addr netip.AddrPort) {
	k := cancelKey{attempt: a, addr: addr}
	if p.cancels[k] != nil {
		return
	}
	p.cancels[k] = &cancel{resend: t.Now.Add(cancelEvery), till: t.Now.Add(cancelFor)}
	t.Do(core.CancelAttempt{Attempt: a, Upstream: addr})
	p.wake(t)
}

func (p *part) cancelEnded(e core.CancelEnded) {
	if e.OK {
		delete(p.cancels, cancelKey{attempt: e.Attempt, addr: e.Upstream})
	}
}

// membersChanged cancels the attempts of hosts that are gone or were started anew, and drops the pools that another
// host dispatches now once nothing of them is left here.
func (p *part) membersChanged(t *core.Turn, e core.MembersChanged) {
	p.members = e.Members
	p.audit(t)
}

// audit goes through the pools when the members change, and now and then: an ask that comes late from a host with
// another view of the members may have made a pool here that nobody else would end.
func (p *part) audit(t *core.Turn) {
	p.nextAudit = t.Now.Add(auditEvery)
	for _, id := range slices.Sorted(maps.Keys(p.pools)) {
		pl := p.pools[id]
		for _, a := range sortedAttempts(pl.held) {
			h := pl.held[a]
			if p.isGone(h, t.Now) {
				p.end(t, pl, h, true)
			}
		}
		p.serve(t, pl)
		if owner, ok := Owner(id, p.members); ok && owner.Host != p.self {
			p.handOver(t, pl, owner.Host)
		}
	}
}

// auditEvery is how often the pools are gone through without a change of the members.
const auditEvery = 5 * time.Second

// handOver gives a pool's queue to its new dispatcher; reservations are claimed by the entry hosts themselves.
func (p *part) handOver(t *core.Turn, pl *pool, to core.HostID) {
	for _, id := range slices.Sorted(maps.Keys(pl.upstreams)) {
		a := pl.upstreams[id].Announcement
		t.Send(to, core.UpstreamNews{Announcement: &a})
	}
	delete(p.pools, pl.id)
}

func sortedAttempts(m map[core.AttemptID]*held) []core.AttemptID {
	return slices.SortedFunc(maps.Keys(m), compareAttempts)
}

func compareAttempts(a, b core.AttemptID) int {
	if c := cmp.Compare(a.Request, b.Request); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

func (p *part) tick(t *core.Turn) {
	if !core.Due(p.sweep, t.Now) {
		return
	}
	p.sweep = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(p.pools)) {
		p.sweepPool(t, p.pools[id])
		if p.pools[id].unused(t.Now) {
			delete(p.pools, id)
		}
	}
	if core.Due(p.nextAudit, t.Now) {
		p.audit(t)
	}
	p.repeatCancels(t)
	if len(p.pools) > 0 || len(p.cancels) > 0 {
		p.sweep = t.Now.Add(sweepEvery)
	}
}

func (p *part) sweepPool(t *core.Turn, pl *pool) {
	pl.forget(t.Now)
	pl.refreshAll(t.Now, p.tables.Policy(pl.id))
	p.shiftRoles(t, pl)
	if len(pl.upstreams) > 0 {
		pl.empty = t.Now
	}
	missing := t.Now.Sub(pl.empty) >= noUpstreamAfter
	over := func(w *waiting) bool { return missing || core.Due(w.deadline, t.Now) }
	for _, w := range append(pl.fresh.takeOut(over), pl.late.takeOut(over)...) {
		f := core.Fail(core.KindOverloaded, "no upstream of %s was free in time", pl.id)
		if missing {
			f = core.Fail(core.KindNoUpstream, "no upstream of %s is there", pl.id)
		}
		t.Send(w.from, core.PlaceRefused{Attempt: w.ask.Attempt, Failure: *f})
	}
	p.serve(t, pl)
}

func (p *part) repeatCancels(t *core.Turn) {
	for k, c := range p.cancels {
		if core.Due(c.till, t.Now) {
			delete(p.cancels, k)
		}
	}
	keys := slices.SortedFunc(maps.Keys(p.cancels), func(a, b cancelKey) int {
		if c := compareAttempts(a.attempt, b.attempt); c != 0 {
			return c
		}
		return a.addr.Compare(b.addr)
	})
	for _, k := range keys {
		if c := p.cancels[k]; core.Due(c.resend, t.Now) {
			c.resend = t.Now.Add(cancelEvery)
			t.Do(core.CancelAttempt{Attempt: k.attempt, Upstream: k.addr})
		}
	}
}

func (p *part) gauges(set func(string, int64)) {
	var queued, heldCount, upstreams int
	for _, pl := range p.pools {
		queued += pl.waiting()
		heldCount += len(pl.held)
		upstreams += len(pl.upstreams)
	}
	set("pools", int64(len(p.pools)))
	set("queued", int64(queued))
	set("placed", int64(heldCount))
	set("upstreams", int64(upstreams))
	set("cancelsOpen", int64(len(p.cancels)))
}
