package entry

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// maxTokensAtStart is the number of relayed tokens or events up to which a response counts as just begun.
const maxTokensAtStart = 1

// startTime is how long after its first token or event a response counts as just begun.
const startTime = 500 * time.Millisecond

// maxCrashes is the number of upstreams that may crash when they begin to execute a request before it is not sent to another
// one.
const maxCrashes = 2

// reportStream reports whether a stream was complete, or whether its engine crashed when the response began.
func (c *component) reportStream(t *core.Turn, r *request, e *core.DecodeEnded, tokensBefore core.Tokens) {
	if e.Failure == nil {
		t.Post(core.StreamCompleted{PromptParts: r.PromptParts})
		t.Post(core.RequestCompleted{Fingerprint: r.fingerprint})
		return
	}
	hasFewTokens := e.RelayedTokens-tokensBefore <= maxTokensAtStart
	if e.RemoteClosed && hasFewTokens && len(r.PromptParts) > 0 {
		t.Post(core.StreamCrashed{Upstream: r.grant.Decode, PromptParts: r.PromptParts, Fingerprint: r.fingerprint})
	}
	isAtStart := hasFewTokens || t.Now.Sub(r.decodeStartedAt)-r.firstTokenLatency <= startTime
	switch {
	case e.Failure.UpstreamEnded && isAtStart:
		c.upstreamCrashed(t, r, r.grant.Decode, e.Failure)
	case e.RemoteClosed && hasFewTokens && len(r.PromptParts) > 0:
		r.crashes++
	}
}

// reportCall reports whether a call was executed to its end, or whether its upstream crashed.
func (c *component) reportCall(t *core.Turn, r *request, f *core.Failure) {
	switch {
	case f == nil:
		t.Post(core.RequestCompleted{Fingerprint: r.fingerprint})
	case f.UpstreamEnded:
		c.upstreamCrashed(t, r, r.grant.Decode, f)
	}
}

// upstreamCrashed records that an upstream's process ended when it began to execute the request. The log names the request by its
// fingerprint too, since it comes under a new ID each time that its caller sends it.
func (c *component) upstreamCrashed(t *core.Turn, r *request, upstream core.UpstreamID, f *core.Failure) {
	r.crashes++
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "upstreamEnded", Reason: f.Message, Request: r.ID, Attempt: r.attemptID().Number, Account: r.account.ID,
		Pool: r.pool, Target: string(upstream), Fingerprint: fmt.Sprintf("%x", r.fingerprint),
	})
	t.Post(core.RequestCrashed{
		Fingerprint: r.fingerprint, Upstream: upstream, Incarnation: r.grantedIncarnation(r.attemptID(), upstream),
	})
}

// quarantineFailure returns the failure of a request that is in quarantine, by itself or by its prompt, otherwise nil.
func (c *component) quarantineFailure(r *request) *core.Failure {
	var f *core.Failure
	if c.quarantinedRequests[r.fingerprint] {
		f = core.Fail(core.KindQuarantined, "the request has crashed the upstreams that executed it (fingerprint %x)", r.fingerprint)
	}
	for _, set := range c.quarantined {
		if f == nil && !slices.ContainsFunc(set, func(p uint64) bool { return !slices.Contains(r.PromptParts, p) }) {
			f = core.Fail(core.KindQuarantined, "parts %x of the prompt have crashed engines", set)
		}
	}
	if f != nil {
		f.RetryAfter = f.Kind.Info().RetryAfter
	}
	return f
}

// requestQuarantineChanged replaces the requests in quarantine.
func (c *component) requestQuarantineChanged(t *core.Turn, fingerprints []uint64) {
	c.quarantinedRequests = make(map[uint64]bool, len(fingerprints))
	for _, fingerprint := range fingerprints {
		c.quarantinedRequests[fingerprint] = true
	}
	c.refuseWaitingQuarantined(t)
}

// refuseWaitingQuarantined refuses the requests that are in quarantine and wait for quota or placement.
func (c *component) refuseWaitingQuarantined(t *core.Turn) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if !r.isWaiting() {
			continue
		}
		if f := c.quarantineFailure(r); f != nil {
			f.NotExecuted = !r.mayHaveRun
			c.cancelWaiting(t, r, f)
		}
	}
}

// refuseQuarantined refuses a request that has its placement, and reports whether it did. The cancel frees the KV cache of a prefill,
// and keeps the release from counting as a success of the decode engine.
func (c *component) refuseQuarantined(t *core.Turn, r *request) bool {
	f := c.quarantineFailure(r)
	if f == nil {
		return false
	}
	f.NotExecuted = !r.mayHaveRun
	c.sendRelease(t, r, core.PlacementRelease{Cancel: !r.plainService})
	c.refuse(t, r, f)
	return true
}
