package entry

import (
	"fmt"
	"maps"
	"slices"

	"oleanderlever/core"
)

// maxTokensAtStart is the number of relayed tokens or events up to which a response counts as just begun.
const maxTokensAtStart = 1

// maxCrashesAtStart is the number of engines that may crash at the start of a request's response before it is not sent to
// another one.
const maxCrashesAtStart = 2

// reportStream posts whether a stream was complete, or whether its engine crashed when the response began.
func (c *component) reportStream(t *core.Turn, r *request, e *core.DecodeEnded, tokensBefore core.Tokens) {
	switch {
	case len(r.PromptParts) == 0:
	case e.Failure == nil:
		t.Post(core.StreamCompleted{PromptParts: r.PromptParts})
	case e.RemoteClosed && e.RelayedTokens-tokensBefore <= maxTokensAtStart:
		r.crashesAtStart++
		t.Post(core.StreamCrashed{Upstream: r.grant.Decode, PromptParts: r.PromptParts})
	}
}

// logEnd logs that an upstream's process ended while it had the request. The log identifies the request by its fingerprint too,
// since it comes under a new ID each time that its caller sends it.
func (c *component) logEnd(t *core.Turn, r *request, upstream core.UpstreamID, f *core.Failure) {
	if f == nil || !f.UpstreamEnded {
		return
	}
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "upstreamEnded", Reason: f.Message, Request: r.ID, Attempt: r.attemptID().Number, Account: r.account.ID,
		Pool: r.pool, Target: string(upstream), Fingerprint: fmt.Sprintf("%x", r.Fingerprint()),
	})
}

// quarantineFailure returns the failure of a request whose prompt is in quarantine, otherwise nil.
func (c *component) quarantineFailure(r *core.Request) *core.Failure {
	for _, set := range c.quarantined {
		if !slices.ContainsFunc(set, func(p uint64) bool { return !slices.Contains(r.PromptParts, p) }) {
			f := core.Fail(core.KindQuarantined, "parts %x of the prompt have crashed engines", set)
			f.RetryAfter = f.Kind.Info().RetryAfter
			return f
		}
	}
	return nil
}

// quarantineChanged replaces the quarantines and refuses the requests that are in one and wait for quota or placement.
func (c *component) quarantineChanged(t *core.Turn, sets [][]uint64) {
	c.quarantined = sets
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.stage != stageQuota && r.stage != stagePlacement {
			continue
		}
		if f := c.quarantineFailure(&r.Request); f != nil {
			f.NotExecuted = !r.mayHaveRun
			c.cancelWaiting(t, r, f)
		}
	}
}

// refuseQuarantined refuses a request whose prefill is complete. The cancel frees the prefill's KV cache, and keeps the release from
// counting as a success of the decode engine.
func (c *component) refuseQuarantined(t *core.Turn, r *request, f *core.Failure) {
	f.NotExecuted = !r.mayHaveRun
	c.sendRelease(t, r, core.PlacementRelease{Cancel: true})
	c.refuse(t, r, f)
}
