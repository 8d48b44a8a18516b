package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// selection is the upstream with the lowest score for an attempt, and the alternatives that were compared with it.
type selection struct {
	best         *upstream
	score        float64
	alternatives []core.Candidate
}

const (
	// maxAlternatives ends the scan of a candidate heap: once there are a best upstream and this many alternatives, no
	// further candidates are compared.
	maxAlternatives = 3
	// maxExamined bounds the decode candidates that are examined for one placement.
	maxExamined = 128
)

// add compares an upstream with the best one; the lowest score wins, and the earlier upstream if scores are equal.
func (s *selection) add(u *upstream, score float64) {
	if s.best == nil {
		s.best, s.score = u, score
		return
	}
	other := core.Candidate{Target: string(u.ID), Score: score}
	if score < s.score {
		other = core.Candidate{Target: string(s.best.ID), Score: s.score}
		s.best, s.score = u, score
	}
	s.alternatives = append(s.alternatives, other)
}

func (s *selection) hasEnough() bool { return s.best != nil && len(s.alternatives) >= maxAlternatives }

// isLarge reports whether an attempt needs more memory than most in a pool with rate limits. An engine that limits its
// requests serves most tokens if the large ones go there; the others need all the memory of engines without a limit.
func (p *pool) isLarge(memory core.Tokens) bool {
	return p.namedLimits && float64(memory) > p.meanMemory
}

// memorySampleWeight is the weight of the newest placement in the mean memory of a pool's attempts.
const memorySampleWeight = 0.02

// recordMemory updates the mean memory of the attempts with one that was placed.
func (p *pool) recordMemory(memory core.Tokens) {
	if p.meanMemory == 0 {
		p.meanMemory = float64(memory)
	}
	p.meanMemory += memorySampleWeight * (float64(memory) - p.meanMemory)
}

// chooseDecode selects the upstream with the lowest load plus penalty for another data centre that has a free slot and
// enough memory. An upstream in Avoid is selected only if no other fits and the pool has no more decode candidates than
// Avoid has entries; otherwise the attempt waits for another upstream. A suspected upstream of a plain service is selected
// if no other has a free slot. An upstream whose rate limit or cold rate is used up is never selected. A bare attempt has no prefill engine
// and is not given to an engine with a backlog of such prompts. Upstreams outside the regions of the request, or of
// another software version than its stream, don't count.
func (p *pool) chooseDecode(item *admission.Item, memory core.Tokens, bare bool, now time.Time) (selection, admission.Result) {
	var fitting, second, avoided, suspect selection
	if p.decodeCandidates.Len() > 0 && p.hasNoRoom(&item.Request, memory) {
		if first := p.decodeCandidates.Min(); first.reservedSlots >= first.Slots {
			return fitting, admission.Full
		}
		return fitting, admission.DoesNotFit
	}
	examined, slotFree, roomMissing := 0, false, false
	var suspected map[core.UpstreamID]bool
	if item.Request.PlainService {
		suspected = p.suspectedUpstreams(item.Request.Repeatable, now)
	}
	p.decodeCandidates.AscendIn(item.Request.Regions, func(u *upstream) bool {
		if u.reservedSlots >= p.slotLimit(u) || examined >= maxExamined {
			return false
		}
		if hasOtherVersion(&item.Request, u) {
			return true
		}
		examined++
		slotFree = true
		if fitting.best != nil && u.load >= fitting.score {
			// The candidates are in the order of their load, so no further one is better.
			return false
		}
		if !p.allows(u, &item.Request, 1, now) || (bare && u.bareUntil.Sub(now) > maxBareBacklog) {
			return true
		}
		roomless := !item.Request.PlainService && !p.fits(item.Request.LocalLoad, u, memory)
		roomMissing = roomMissing || roomless
		if item.Request.PlainService == (u.Role == core.RoleService) && !roomless {
			into := &fitting
			switch {
			case slices.Contains(item.Request.Avoid, u.ID):
				into = &avoided
			case suspected[u.ID]:
				into = &suspect
			case !item.Request.PlainService && (u.limit.rate > 0) != p.isLarge(memory):
				into = &second
			}
			into.add(u, u.load+decodePenalty(u, item.Request.DataCentre))
		}
		return !fitting.hasEnough()
	})
	if fitting.best == nil {
		fitting = second
	}
	if fitting.best == nil {
		fitting = suspect
	}
	if fitting.best == nil && avoided.best != nil && !p.hasAlternative(&item.Request) {
		fitting = avoided
	}
	switch {
	case fitting.best != nil:
		return fitting, admission.Placed
	case p.isRestricted(&item.Request):
		return fitting, admission.DoesNotFitHere
	case roomMissing:
		return fitting, admission.DoesNotFit
	case slotFree:
		return fitting, admission.Unavailable
	}
	return fitting, admission.Full
}

// A host that places attempts locally may use localShareFactor times an equal share of an engine's memory. The factor
// is above 1 because callers are spread unevenly over the hosts. Without the limit, each host would use all the memory
// that looks free to it, and the attempts on an engine would need several times its memory.
const localShareFactor = 1.5

// fits reports whether an engine has enough memory for an attempt. A host that places attempts locally is limited to
// its share of the engine, but may place one attempt of any size that the engine can hold.
func (p *pool) fits(localLoad *core.LocalLoad, u *upstream, memory core.Tokens) bool {
	if localLoad == nil {
		return u.reservedMemory+memory <= p.memoryCapacity(u)
	}
	own := u.reservedMemory + localLoad.PlacedElsewhere[u.ID]
	share := core.Tokens(localShareFactor * float64(p.memoryCapacity(u)) / float64(localLoad.EntryHosts))
	return own+memory <= min(p.memoryCapacity(u), max(share, memory))
}

// remoteDecodePenalty is added to the load (0 is empty, 1 is full) of an upstream in another data centre than the
// attempt's entry host. It is less than the load of one slot on a plain service with up to 8 slots, so that such a
// service is not preferred to an emptier one in another data centre.
const remoteDecodePenalty = 0.12

// decodePenalty returns the penalty for relaying a response from u to an entry host in data centre from. It is zero if
// from is empty.
func decodePenalty(u *upstream, from core.DataCentre) float64 {
	if from == "" || u.DataCentre == from {
		return 0
	}
	return remoteDecodePenalty
}

// remoteTransferPenalty is the cost of transferring a prompt's KV cache to another data centre, in prompt tokens. Such
// a transfer takes twice as long as one within a data centre, at up to three times the price.
const remoteTransferPenalty core.Tokens = 400

// transferPenalty returns the cost of transferring a KV cache from a prefill engine to a data centre, in prompt tokens.
// It is zero if the configuration does not have the pool's engines.
func (p *pool) transferPenalty(u *upstream, to core.DataCentre) core.Tokens {
	if p.engine == nil || u.DataCentre == to {
		return 0
	}
	return remoteTransferPenalty
}

// choosePrefill selects the engine with the lowest cost in tokens: its queued prefill tokens, plus the prompt's tokens
// that it has not cached, plus the transfer penalty. It compares the engines with the fewest queued tokens and those
// that recently got a prompt with the same first block. An engine in Avoid is selected only if there is no other, one whose
// rate limit or cold rate is used up, or which is outside the regions of the request, never.
func (p *pool) choosePrefill(item *admission.Item, decode *upstream, now time.Time) selection {
	var preferred, avoided selection
	consider := func(u *upstream) bool {
		requests := 1
		if u == decode {
			requests = 2
		}
		if !p.mayRunAt(&item.Request, u) || !p.allows(u, &item.Request, requests, now) {
			return true
		}
		into := &preferred
		if slices.Contains(item.Request.Avoid, u.ID) {
			into = &avoided
		}
		into.add(u, float64(u.prefillTokens+item.Request.PromptTokens-
			u.cachedTokens(item.Request.PrefixHashes)+p.transferPenalty(u, decode.DataCentre)))
		return !preferred.hasEnough()
	}
	p.prefillCandidates.AscendIn(item.Request.Regions, consider)
	if len(item.Request.PrefixHashes) > 0 {
		for _, id := range p.enginesByPrefix[item.Request.PrefixHashes[0]] {
			if u := p.upstreams[id]; u != nil && u.prefillIndex >= 0 && (preferred.best == nil || preferred.best.ID != id) {
				consider(u)
			}
		}
	}
	if preferred.best == nil {
		return avoided
	}
	return preferred
}
