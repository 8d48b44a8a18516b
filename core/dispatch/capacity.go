package dispatch

import (
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// capacity has the sums over the upstreams that get work, as forecasts need them.
type capacity struct {
	// rooms is the number of attempts of mean size for which there is memory, reserved the memory that is not free.
	rooms    int
	reserved core.Tokens
	// freeSlots and usedSlots are the slots.
	freeSlots int
	usedSlots int
}

// share returns what an upstream adds to the capacity of its pool.
func (p *pool) share(u *upstream) capacity {
	if u.decodeIndex < 0 {
		return capacity{}
	}
	c := capacity{reserved: u.reservedMemory, freeSlots: max(0, p.slotLimit(u)-u.reservedSlots), usedSlots: u.reservedSlots}
	if free := p.memoryCapacity(u) - u.reservedMemory; p.meanMemory > 0 && free > 0 {
		// What is left on an engine beside the last attempt that fits is of no use to the next one.
		c.rooms = int(float64(free) / p.meanMemory)
	}
	return c
}

// recount updates the capacity of the pool after an upstream has changed.
func (p *pool) recount(u *upstream) {
	if u.decodeIndex >= 0 {
		u.freeMemory = p.memoryCapacity(u) - u.reservedMemory
		p.roomiest.Fix(u)
	} else {
		p.roomiest.Remove(u)
	}
	was, is := u.counted, p.share(u)
	u.counted = is
	p.capacity.rooms += is.rooms - was.rooms
	p.capacity.reserved += is.reserved - was.reserved
	p.capacity.freeSlots += is.freeSlots - was.freeSlots
	p.capacity.usedSlots += is.usedSlots - was.usedSlots
}

func moreFreeMemory(a, b *upstream) bool {
	if a.freeMemory != b.freeMemory {
		return a.freeMemory > b.freeMemory
	}
	return a.ID < b.ID
}

// hasNoRoom reports whether no engine has memory for an attempt that a dispatcher places, which is so most of the time under
// load, without looking at each of them. It is false for attempts that only some upstreams may get.
func (p *pool) hasNoRoom(request *core.PlacementRequest, memory core.Tokens) bool {
	return !request.PlainService && request.LocalLoad == nil && !p.isRestricted(request) && p.roomiest.Len() > 0 && memory > p.roomiest.Min().freeMemory
}

// recordFreed measures what an attempt that has ended frees. One that was refused says nothing about how long the others take,
// and of one that another dispatcher placed it is not known: a new dispatcher that counted those refused requests after a second,
// when it had seen only a few of them end.
func (p *pool) recordFreed(r *reservation, decode *upstream, now time.Time) {
	if decode.decodeIndex >= 0 && !r.refused && !r.claimed {
		p.queue.Rates.Freed(now, admission.Work{Memory: float64(r.memory), Slots: 1}, now.Sub(r.reservedAt))
	}
}

// admissionCapacity returns what the pool can take now and later.
func (p *pool) admissionCapacity(now time.Time) admission.Capacity {
	c := admission.Capacity{
		Free:     admission.Work{Memory: float64(p.capacity.rooms) * p.meanMemory, Slots: float64(p.capacity.freeSlots)},
		Reserved: admission.Work{Memory: float64(p.capacity.reserved), Slots: float64(p.capacity.usedSlots)},
	}
	if n := p.prefillCandidates.Len(); n > 0 && p.latency.prefillSamples >= minPrefillSamples {
		c.PrefillRate = float64(n) / max(p.latency.prefillPerToken.Seconds()*p.latency.computedRatio, minPrefillSeconds)
		c.PrefillDelay = max(0, p.prefillCandidates.Min().busyUntil.Sub(now)-maxPrefillBacklog)
	}
	return c
}

const (
	// minPrefillSamples is the number of prefills from which the rate of the prefill engines is used in forecasts.
	minPrefillSamples = 20
	// minPrefillSeconds bounds the rate of a prefill engine that computes nothing, since all prompts are cached.
	minPrefillSeconds = 1e-9
)

// workOf returns what an attempt takes of the pool.
func (p *pool) workOf(request *core.PlacementRequest) admission.Work {
	w := admission.Work{Memory: float64(p.memoryNeeded(request)), Slots: 1}
	if !request.PlainService && !request.WithoutPrefill && !request.Prefilled {
		w.Prompt = float64(request.PromptTokens)
	}
	return w
}

// largestMemory returns the memory of the largest engine of the pool, or zero if it has none.
func (p *pool) largestMemory() core.Tokens {
	largest := core.Tokens(0)
	for _, u := range p.upstreams {
		if u.Role != core.RoleService {
			largest = max(largest, p.memoryCapacity(u))
		}
	}
	return largest
}
