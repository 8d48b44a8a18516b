package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// held is what the ledger reserves for an attempt.
type held struct {
	ask    core.PlaceAsk
	from   core.HostID
	boot   uint64
	placed core.Placed
	// pieces are held at the decode engine; prefill is the tokens held at the prefill engine until it is done.
	pieces  int
	prefill core.Tokens
	// since is when the ledger took it, missed how many lists of its entry host in a row did not name it.
	since  time.Time
	missed int
}

// pool is the ledger of one pool.
type pool struct {
	id        core.PoolID
	upstreams map[core.UpstreamID]*upstream
	queue     fairQueue
	held      map[core.AttemptID]*held
	// empty is since when the pool has had no upstream at all.
	empty time.Time
}

func newPool(id core.PoolID, now time.Time) *pool {
	return &pool{id: id, upstreams: map[core.UpstreamID]*upstream{}, queue: newFairQueue(), held: map[core.AttemptID]*held{}, empty: now}
}

// sorted returns the upstreams in order of their IDs.
func (p *pool) sorted() []*upstream {
	out := make([]*upstream, 0, len(p.upstreams))
	for _, id := range slices.Sorted(maps.Keys(p.upstreams)) {
		out = append(out, p.upstreams[id])
	}
	return out
}

// choice is the outcome of scoring upstreams for one place.
type choice struct {
	best   *upstream
	score  float64
	others []core.Candidate
}

// maxOthers bounds the runners-up in a log line.
const maxOthers = 3

// choose picks the upstream with the lowest score; fits says which ones may be taken.
func choose(list []*upstream, fits func(*upstream) bool, score func(*upstream) float64) choice {
	var c choice
	for _, u := range list {
		if !fits(u) {
			continue
		}
		s := score(u)
		if c.best == nil || s < c.score {
			if c.best != nil {
				c.others = append(c.others, core.Candidate{Target: string(c.best.ID), Score: c.score})
			}
			c.best, c.score = u, s
			continue
		}
		c.others = append(c.others, core.Candidate{Target: string(u.ID), Score: s})
	}
	slices.SortStableFunc(c.others, func(a, b core.Candidate) int {
		if a.Score < b.Score {
			return -1
		}
		return 1
	})
	c.others = c.others[:min(maxOthers, len(c.others))]
	return c
}

// place finds upstreams for an attempt and reserves them, or returns false where none is free.
func (p *pool) place(w *waiting, now time.Time, policy core.UpstreamPolicy, epoch core.Epoch) (*held, choice, bool) {
	list := p.sorted()
	usable := func(u *upstream) bool { return u.usable(now, policy) }
	avoided := func(u *upstream) bool { return slices.Contains(w.ask.Avoid, u.ID) }
	if slices.ContainsFunc(list, func(u *upstream) bool { return usable(u) && !avoided(u) && serves(u, w.ask.Service) }) {
		usable = func(u *upstream) bool { return u.usable(now, policy) && !avoided(u) }
	}
	pieces := core.Pieces(w.ask.Prompt + w.ask.Output)
	decode := choose(list, func(u *upstream) bool {
		if w.ask.Service {
			return u.Role == core.RoleService && usable(u) && u.slots < u.Slots
		}
		return u.Role.CanDecode() && usable(u) && u.slots < u.Slots && u.pieces+pieces <= u.Pieces
	}, func(u *upstream) float64 { return float64(u.slots) / float64(u.Slots) })
	if decode.best == nil {
		return nil, decode, false
	}
	h := &held{ask: w.ask, from: w.from, placed: core.Placed{Attempt: w.ask.Attempt, Pool: p.id, Epoch: epoch}}
	h.placed.Decode, h.placed.DecodeAddr = decode.best.ID, decode.best.Addr
	if w.ask.Service {
		p.reserve(h, now)
		return h, decode, true
	}
	prefill := choose(list, func(u *upstream) bool { return u.Role.CanPrefill() && usable(u) },
		func(u *upstream) float64 { return float64(u.prefill + w.ask.Prompt - u.cached(w.ask.Blocks)) })
	if prefill.best == nil {
		return nil, prefill, false
	}
	h.placed.Prefill, h.placed.PrefillAddr = prefill.best.ID, prefill.best.Addr
	h.pieces = pieces
	h.prefill = max(1, w.ask.Prompt-prefill.best.cached(w.ask.Blocks))
	p.reserve(h, now)
	return h, prefill, true
}

// serves reports whether an upstream can give an attempt its answer.
func serves(u *upstream, service bool) bool {
	if service {
		return u.Role == core.RoleService
	}
	return u.Role.CanDecode()
}

func (p *pool) reserve(h *held, now time.Time) {
	h.since = now
	p.held[h.ask.Attempt] = h
	if d := p.upstreams[h.placed.Decode]; d != nil {
		d.slots++
		d.pieces += h.pieces
	}
	if f := p.upstreams[h.placed.Prefill]; f != nil {
		f.prefill += h.prefill
		f.remember(h.ask.Blocks)
	}
}

func (p *pool) releasePrefill(h *held) {
	if f := p.upstreams[h.placed.Prefill]; f != nil {
		f.prefill -= h.prefill
	}
	h.prefill = 0
}

func (p *pool) release(h *held) {
	p.releasePrefill(h)
	if d := p.upstreams[h.placed.Decode]; d != nil {
		d.slots--
		d.pieces -= h.pieces
	}
	delete(p.held, h.ask.Attempt)
}

// announce takes an upstream's announcement; a new incarnation holds nothing of the old one's work.
func (p *pool) announce(a core.Announcement, now time.Time) {
	u := p.upstreams[a.ID]
	if u != nil && a.Incarnation < u.Incarnation {
		return
	}
	if u == nil || a.Incarnation > u.Incarnation {
		u = &upstream{cache: map[uint64]uint64{}, strangers: map[core.AttemptID]time.Time{}}
		p.upstreams[a.ID] = u
		p.recount(a.ID, u)
	}
	u.Announcement = a
	u.heard = now
}

// recount charges the attempts that the ledger holds at an upstream to its new row.
func (p *pool) recount(id core.UpstreamID, u *upstream) {
	for _, h := range p.held {
		if h.placed.Decode == id {
			u.slots++
			u.pieces += h.pieces
		}
		if h.placed.Prefill == id {
			u.prefill += h.prefill
		}
	}
}

// forget drops upstreams that have been silent for long.
func (p *pool) forget(now time.Time) {
	for id, u := range p.upstreams {
		if now.Sub(u.heard) >= forgetAfter {
			delete(p.upstreams, id)
		}
	}
}

// strangers notes which attempts of a report the ledger does not know and returns those past the grace time.
func (p *pool) strangers(u *upstream, r *core.Report, now time.Time) []core.AttemptID {
	seen := map[core.AttemptID]time.Time{}
	var lost []core.AttemptID
	for _, a := range r.Attempts {
		if p.held[a] != nil {
			continue
		}
		since, ok := u.strangers[a]
		if !ok {
			since = now
		}
		seen[a] = since
		if now.Sub(since) >= orphanGrace {
			lost = append(lost, a)
		}
	}
	u.strangers = seen
	return lost
}
