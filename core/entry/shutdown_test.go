package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

const (
	// serviceSlots is the number of calls that the upstreams of the test host execute at once.
	serviceSlots = 8
	lameDuckTime = 2800 * time.Millisecond
	shutdownTime = 7400 * time.Millisecond
)

// shutDown announces the end of the host, as after a SIGTERM.
func (h *testHost) shutDown() {
	h.step(core.LameDuck{StreamsUntil: h.now.Add(lameDuckTime), EndsAt: h.now.Add(shutdownTime)})
}

// Guards against a request that is closed without a response when its host ends while it waits: for quota, for its
// idempotency key, for a slot, or as a stream for an engine. It is refused as not executed and never sent.
func TestWaitingRequestIsRefusedBeforeTheHostEnds(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	for n := range serviceSlots {
		h.submit(core.RequestID(fmt.Sprint("running", n)), "/call-long/1")
	}
	require.Len(t, actionsOf[core.RunCall](h), serviceSlots)
	h.submit("slot", "/call-long/1")
	for _, r := range []core.Request{
		{ID: "quota", Path: "/call-long/1", KeyHash: core.KeyHash{2}},
		{ID: "key", Path: "/call-long/1", KeyHash: core.KeyHash{1}, IdempotencyKey: "order-1"},
		{ID: "stream1", Path: "/stream/1", KeyHash: core.KeyHash{1}, PromptTokens: 9000},
		{ID: "stream2", Path: "/stream/1", KeyHash: core.KeyHash{1}, PromptTokens: 9000},
		{ID: "engine", Path: "/stream/1", KeyHash: core.KeyHash{1}, PromptTokens: 9000},
	} {
		r.Host, r.HasKey, r.Deadline = "h", true, h.now.Add(14*time.Second)
		h.step(core.RequestArrived{Request: r})
	}
	require.Len(t, actionsOf[core.RunDecode](h), 2, "each engine has room for one stream")
	h.shutDown()
	h.advance(time.Second)
	waiting := []core.RequestID{"slot", "quota", "key", "engine"}
	for _, id := range waiting {
		require.Nil(t, h.refusal(id), "%s can still be served", id)
	}
	h.advance(shutdownTime - time.Second - time.Millisecond)
	for _, id := range waiting {
		t.Run(string(id), func(t *testing.T) {
			require.NotNil(t, h.refusal(id), "no response when the host ends")
			require.Equal(t, core.KindNotReady, h.refusal(id).Kind)
			require.True(t, h.refusal(id).NotExecuted)
		})
	}
	require.Len(t, actionsOf[core.RunCall](h), serviceSlots, "a refused call was sent")
	require.Len(t, actionsOf[core.RunDecode](h), 2, "a refused stream was sent")
}
