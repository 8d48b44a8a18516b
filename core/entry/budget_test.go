package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// prefillEngine returns the announcement of a prefill engine.
func prefillEngine(id core.UpstreamID, addr string) core.SeenUpstream {
	return core.SeenUpstream{Announcement: core.Announcement{
		ID: id, Pool: "engine", Role: core.RolePrefill, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 1, Addr: netip.MustParseAddrPort(addr),
	}}
}

// While many engines turned work away, each refused prefill was followed by a decode that no retry had been spent on, so that
// all hosts together sent engines more than the retry budget allows.
func TestRetryBudgetCountsRefusedPrefills(t *testing.T) {
	const requests, burst = 50, 12
	for _, path := range []string{"/stream-resumable/1", "/stream/1"} {
		h := newTestHost(t, core.RetryBudget{Ratio: 0.1, Burst: burst, Shared: true})
		h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{prefillEngine("p1", "10.0.1.9:80")}}})
		for n := range requests {
			id := core.RequestID(fmt.Sprint("r", n))
			h.submit(id, path)
			for seen := 0; seen < len(h.actions) || h.refusal(id) == nil; seen++ {
				for seen == len(h.actions) {
					// All engines are in a trial.
					h.advance(50 * time.Millisecond)
				}
				switch a := h.actions[seen].(type) {
				case core.RunPrefill:
					if a.Attempt.Request == id {
						h.step(core.PrefillEnded{Attempt: a.Attempt, Failure: notExecuted})
					}
				case core.RunDecode:
					if a.Attempt.Request == id {
						h.step(core.DecodeEnded{Attempt: a.Attempt, Failure: notExecuted})
					}
				}
			}
			require.NotNil(t, h.refusal(id))
			require.True(t, h.refusal(id).NotExecuted)
		}
		sent := len(actionsOf[core.RunPrefill](h)) + len(actionsOf[core.RunDecode](h))
		require.LessOrEqual(t, sent-requests, burst, path)
		require.Greater(t, len(actionsOf[core.RunDecode](h)), 0, "some requests are retried")
	}
}

// A placement that a host does not use was released once; if that message was lost, the dispatcher kept the reservation for ever.
func TestUnusedGrantIsReleasedUntilAcknowledged(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy, "b")
	a := core.AttemptID{Request: "unknown", Number: 1}
	releases := func() int {
		n := 0
		for _, m := range actionsOf[core.SendMessage](h) {
			if r, ok := m.Message.(core.PlacementRelease); ok && m.To == "b" && r.Attempt == a {
				n++
			}
		}
		return n
	}
	h.step(core.MessageReceived{From: "b", Message: core.PlacementGrant{Attempt: a, Pool: "engine", Decode: "e1"}})
	require.Equal(t, 1, releases())
	h.advance(1200 * time.Millisecond)
	require.Equal(t, 3, releases())
	h.step(core.MessageReceived{From: "b", Message: core.PlacementReleaseAck{Attempt: a}})
	h.advance(time.Minute)
	require.Equal(t, 3, releases())
}

// A decode that was refused went to the same engine again and then, with another prefill, to the next one: three more requests
// where one is enough.
func TestRefusedDecodeGoesElsewhereWithoutAnotherPrefill(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{prefillEngine("p1", "10.0.1.9:80")}}})
	h.submit("r", "/stream-resumable/1")
	h.step(core.PrefillEnded{Attempt: core.AttemptID{Request: "r", Number: 1}, PromptTokens: 1000, KV: core.KVRef{Handle: "k"}})
	h.step(core.DecodeEnded{Attempt: core.AttemptID{Request: "r", Number: 1}, Failure: notExecuted})
	decodes := actionsOf[core.RunDecode](h)
	require.Len(t, decodes, 2)
	require.NotEqual(t, decodes[0].UpstreamID, decodes[1].UpstreamID)
	require.Empty(t, decodes[1].KV.Handle)
	require.Len(t, actionsOf[core.RunPrefill](h), 1)
}

// The Retry-After of one upstream was passed on to the caller of a request that it refused, although others could have served the
// caller at once.
func TestRetryAfterOfOneUpstreamIsNotThatOfThePool(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.submit("r", "/call/1")
	calls := actionsOf[core.RunCall](h)
	require.Len(t, calls, 1)
	refused := *notExecuted
	refused.RetryAfter = 30 * time.Second
	statement := core.UpstreamStatement{Upstream: calls[0].UpstreamID, ReadAt: h.now, RetryAfter: refused.RetryAfter, HasRateLimit: true}
	h.step(core.CallEnded{Attempt: calls[0].Attempt, Failure: &refused, Statement: &statement})
	require.Zero(t, h.refusal("r").RetryAfter)
	for n := range 5 {
		h.submit(core.RequestID(fmt.Sprint("s", n)), "/call/1")
	}
	calls = actionsOf[core.RunCall](h)
	require.Greater(t, len(calls), 1, "the other upstream serves the next ones")
	for _, call := range calls[1:] {
		require.NotEqual(t, calls[0].UpstreamID, call.UpstreamID)
	}
}
