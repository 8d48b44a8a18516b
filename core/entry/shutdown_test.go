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
	h.step(core.LameDuck{LongUntil: h.now.Add(lameDuckTime), EndsAt: h.now.Add(shutdownTime)})
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

// Guards against a call that a host accepts late in its shutdown and cuts when it ends: the caller of an order would not
// know whether it was executed. Calls whose timeout ends before the host are accepted all the time.
func TestLateCallIsAcceptedOnlyIfItsTimeoutEndsBeforeTheHost(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.shutDown()
	h.advance(time.Second)
	h.submit("early", "/call-long/1")
	require.Nil(t, h.refusal("early"), "most calls that start now end in time")
	h.advance(2500 * time.Millisecond)
	h.submit("late", "/call-long/1")
	require.NotNil(t, h.refusal("late"))
	require.Equal(t, core.KindNotReady, h.refusal("late").Kind)
	require.True(t, h.refusal("late").NotExecuted)
	h.submit("short", "/call/1")
	require.Nil(t, h.refusal("short"))
	require.Len(t, actionsOf[core.RunCall](h), 2)
}

// A host that is shutting down knows how long the calls of a pool have taken. It refuses at once what would not end in
// time, and lets a call wait for a slot as long as it can still be executed.
func TestMeasuredDurationsLimitTheStartOfLongCalls(t *testing.T) {
	serve := func(h *testHost, calls int, duration time.Duration) {
		for n := range calls {
			id := core.RequestID(fmt.Sprint("served", n))
			h.submit(id, "/call-long/1")
			h.advance(duration)
			h.step(core.CallEnded{Attempt: core.AttemptID{Request: id, Number: 1}, Response: core.StoredResponse{Status: 200}})
		}
	}
	h := newTestHost(t, defaultRetryPolicy)
	serve(h, 30, 6*time.Second)
	h.shutDown()
	h.advance(time.Second)
	h.submit("fits", "/call-long/1")
	require.Nil(t, h.refusal("fits"))
	h.advance(500 * time.Millisecond)
	h.submit("slow", "/call-long/1")
	require.NotNil(t, h.refusal("slow"), "a call of 6 s would be cut after 5.9 s")

	h = newTestHost(t, defaultRetryPolicy)
	serve(h, 30, time.Second)
	for n := range serviceSlots {
		h.submit(core.RequestID(fmt.Sprint("running", n)), "/call-long/1")
	}
	h.submit("waiting", "/call-long/1")
	started := len(actionsOf[core.RunCall](h))
	h.shutDown()
	h.advance(6 * time.Second)
	require.Nil(t, h.refusal("waiting"))
	h.step(core.CallEnded{Attempt: core.AttemptID{Request: "running0", Number: 1}, Response: core.StoredResponse{Status: 200}})
	require.Len(t, actionsOf[core.RunCall](h), started+1)
}

// Guards against a running request whose caller gets no response when its host ends: it learns that the outcome is
// unknown, and the attempt is aborted. A complete response whose record is not yet stored is delivered.
func TestRunningRequestIsAnsweredWhenTheHostEnds(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.step(core.RequestArrived{Request: core.Request{
		ID: "recorded", Host: "h", Path: "/call-long/1", KeyHash: core.KeyHash{1}, HasKey: true, IdempotencyKey: "order-1", Deadline: h.now.Add(14 * time.Second),
	}})
	h.step(core.IdempotencyKeyAcquired{Request: "recorded"})
	h.submit("call", "/call-long/1")
	h.submit("stream", "/stream/1")
	h.step(core.CallEnded{Attempt: core.AttemptID{Request: "recorded", Number: 1}, Response: core.StoredResponse{Status: 200}})
	h.shutDown()
	h.advance(4 * time.Second)
	h.step(core.Draining{EndsAt: h.now.Add(shutdownTime - 4*time.Second)})
	h.advance(shutdownTime - 4*time.Second)
	for _, id := range []core.RequestID{"call", "stream"} {
		require.NotNil(t, h.refusal(id), id)
		require.Equal(t, core.KindOutcomeUnknown, h.refusal(id).Kind)
		require.False(t, h.refusal(id).NotExecuted)
		require.Contains(t, actionsOf[core.AbortAttempt](h), core.AbortAttempt{Attempt: core.AttemptID{Request: id, Number: 1}})
	}
	require.Contains(t, actionsOf[core.FinishRequest](h), core.FinishRequest{Request: "recorded"})
	require.Len(t, actionsOf[core.Drained](h), 1)
}

// An end that is brought forward, as by a second signal, ends all requests at once.
func TestSecondSignalAnswersAllRequests(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	for n := range serviceSlots {
		h.submit(core.RequestID(fmt.Sprint("running", n)), "/call-long/1")
	}
	h.submit("waiting", "/call-long/1")
	h.shutDown()
	h.step(core.Draining{EndsAt: h.now})
	h.advance(time.Millisecond)
	require.True(t, h.refusal("waiting").NotExecuted)
	for n := range serviceSlots {
		require.Equal(t, core.KindOutcomeUnknown, h.refusal(core.RequestID(fmt.Sprint("running", n))).Kind)
	}
	require.Len(t, actionsOf[core.Drained](h), 1)
}

// Guards against long calls that are accepted up to the end of a host that has less time than the lame duck period.
func TestShortShutdownStopsAcceptingLongCallsHalfway(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.step(core.LameDuck{LongUntil: h.now.Add(lameDuckTime), EndsAt: h.now.Add(2 * time.Second)})
	h.submit("early", "/call-long/1")
	h.advance(1100 * time.Millisecond)
	h.submit("late", "/call-long/1")
	h.submit("short", "/call/1")
	require.Nil(t, h.refusal("early"))
	require.True(t, h.refusal("late").NotExecuted)
	require.Nil(t, h.refusal("short"))
}

// A request whose timer fires at its latest start keeps waiting if durations that were measured since allow it.
func TestLatestStartMovesWithMeasuredDurations(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	call := func(id core.RequestID, duration time.Duration) {
		h.submit(id, "/call-long/1")
		h.advance(duration)
		h.step(core.CallEnded{Attempt: core.AttemptID{Request: id, Number: 1}, Response: core.StoredResponse{Status: 200}})
	}
	for n := range 64 {
		call(core.RequestID(fmt.Sprint("slow", n)), 5*time.Second)
	}
	h.step(core.RequestArrived{Request: core.Request{
		ID: "quota", Host: "h", Path: "/call-long/1", KeyHash: core.KeyHash{2}, HasKey: true, Deadline: h.now.Add(14 * time.Second),
	}})
	h.shutDown()
	for n := range 64 {
		call(core.RequestID(fmt.Sprint("quick", n)), 10*time.Millisecond)
	}
	h.advance(5 * time.Second)
	require.Nil(t, h.refusal("quota"), "it can still be served")
	h.step(core.QuotaAcquired{Request: "quota"})
	calls := actionsOf[core.RunCall](h)
	require.Equal(t, core.RequestID("quota"), calls[len(calls)-1].Attempt.Request)
	require.Equal(t, 1, calls[len(calls)-1].Attempt.Number)
}
