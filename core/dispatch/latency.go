package dispatch

import (
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

const (
	// firstTokenTarget is the target for the time from a request's arrival to its first token if its route has none.
	// maxTargetMargin, but at most targetMarginRatio of a route's target, is subtracted to cover the error of the estimate.
	firstTokenTarget  = 760 * time.Millisecond
	maxTargetMargin   = 80 * time.Millisecond
	targetMarginRatio = 0.1
	// A prefill engine with more queued work than maxPrefillBacklog gets no further prompt. The backlog keeps the
	// engine busy for a round trip; further attempts stay in the dispatcher's queue, where they can still be reordered.
	maxPrefillBacklog = 60 * time.Millisecond
	// A decode engine computes a prompt bareSlowdown times as slowly as a prefill engine, between the tokens of its streams. If
	// more than maxBareBacklog of such work is queued on it, it gets no further prompt without a prefill.
	bareSlowdown   = 2
	maxBareBacklog = 200 * time.Millisecond
	// latencySampleWeight is the weight of the newest sample in a moving average.
	latencySampleWeight = 0.05
)

// latencyEstimate holds moving averages of a pool's observed latencies.
type latencyEstimate struct {
	// prefillPerToken is the prefill time of one prompt token; prefillToFirstToken is the time from the end of a
	// prefill to the first token.
	prefillPerToken     time.Duration
	prefillToFirstToken time.Duration
	// prefillSamples counts the prefills that were measured; computedRatio is the part of prompts that they computed, since the
	// rest was cached.
	prefillSamples int
	computedRatio  float64
	// callTime is the time from sending a call to a plain service to the response, or to a stream's first event, and
	// callDeviation its mean deviation. callCount is the number of samples.
	callTime      time.Duration
	callDeviation time.Duration
	callCount     int
	// slotTime is how long a call's slot is reserved.
	slotTime time.Duration
}

// movingAverage adds a sample to an exponential moving average; the first sample is the average.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencySampleWeight*float64(sample-old))
}

// addPrefill adds a sample: the time that an engine took for one prompt and the tokens that it computed.
func (e *latencyEstimate) addPrefill(elapsed time.Duration, tokens core.Tokens) {
	if tokens > 0 {
		e.prefillPerToken = movingAverage(e.prefillPerToken, elapsed/time.Duration(tokens))
		e.prefillSamples++
	}
}

// addComputed adds a sample of the part of a prompt that a prefill engine has to compute.
func (e *latencyEstimate) addComputed(ratio float64) {
	if e.computedRatio == 0 {
		e.computedRatio = ratio
	}
	e.computedRatio += latencySampleWeight * (ratio - e.computedRatio)
}

// addFirstToken adds a sample of the time from the end of a prefill to the first token.
func (e *latencyEstimate) addFirstToken(elapsed time.Duration) {
	e.prefillToFirstToken = movingAverage(e.prefillToFirstToken, elapsed)
}

// addCall adds a sample: the time that a plain service took to respond, and the time for which the slot was reserved.
func (e *latencyEstimate) addCall(took, reserved time.Duration) {
	e.callCount++
	e.callTime = movingAverage(e.callTime, took)
	e.callDeviation = movingAverage(e.callDeviation, (took - e.callTime).Abs())
	e.slotTime = movingAverage(e.slotTime, reserved)
}

// resetCalls discards the samples of calls.
func (e *latencyEstimate) resetCalls() {
	e.callTime, e.callDeviation, e.slotTime, e.callCount = 0, 0, 0, 0
}

// neededCallTime returns the time in which most calls with a target end: the mean plus callDeviations mean deviations, unless that
// leaves less than half of the target to the queue.
func (e *latencyEstimate) neededCallTime(target time.Duration) time.Duration {
	return max(e.callTime, min(e.callTime+callDeviations*e.callDeviation, target/2))
}

// callDeviations is the number of mean deviations from the mean in which most calls end: 93 % of them if the times are distributed
// exponentially.
const callDeviations = 2

// prefillTime estimates how long an engine takes to prefill a number of tokens.
func (e *latencyEstimate) prefillTime(tokens core.Tokens) time.Duration {
	return time.Duration(tokens) * e.prefillPerToken
}

// targetAge returns how long after the arrival of its request the work of an attempt must have ended to meet the target.
func targetAge(request *core.PlacementRequest) time.Duration {
	if request.Target == 0 {
		return firstTokenTarget - maxTargetMargin
	}
	return request.Target - min(maxTargetMargin, time.Duration(targetMarginRatio*float64(request.Target)))
}

// neededTime estimates the time from the placement of an attempt to its response or its first token, without the wait for a
// prefill engine.
func (p *pool) neededTime(request *core.PlacementRequest) time.Duration {
	if request.PlainService {
		return p.latency.neededCallTime(request.Target)
	}
	if request.Prefilled {
		return p.latency.prefillToFirstToken
	}
	tokens := request.PromptTokens
	if p.prefillCandidates.Len() > 0 {
		tokens -= p.prefillCandidates.Min().cachedTokens(request.PrefixHashes)
	}
	return p.latency.prefillToFirstToken + p.latency.prefillTime(tokens)
}

// demote moves attempts that can no longer meet the target to the late ones.
func (p *pool) demote(now time.Time) {
	delay := time.Duration(0)
	if p.prefillCandidates.Len() > 0 {
		delay = max(0, p.prefillCandidates.Min().busyUntil.Sub(now))
	}
	p.queue.Demote(now, delay, p.lateAt)
}

// lateAt returns when an attempt can no longer meet its target if it is placed then and does not wait for a prefill engine.
func (p *pool) lateAt(item *admission.Item) time.Time {
	return item.ArrivedAt.Add(targetAge(&item.Request) - p.neededTime(&item.Request))
}

// lateEnginesRatio is the part of the prefill engines of a pool that may compute prompts of late attempts at a time.
const lateEnginesRatio = 0.5

// canPlaceLate reports whether a late attempt can be placed without delaying an on-time one that arrives shortly after: few
// late prefills are running, and a prefill engine is idle or the pool has no prefill candidates. In a pool whose requests have
// no target, one late prefill runs at a time.
func (p *pool) canPlaceLate(now time.Time) bool {
	limit := 1
	if p.hasTargets {
		limit = max(limit, int(lateEnginesRatio*float64(p.prefillCandidates.Len())))
	}
	return p.latePrefills < limit && (p.prefillCandidates.Len() == 0 || !now.Before(p.prefillCandidates.Min().busyUntil))
}
