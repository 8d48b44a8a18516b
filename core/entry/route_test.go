package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
	"oleanderlever/core/entry"
	"oleanderlever/core/harness"
	"oleanderlever/core/origin"
)

// testHost is a single host in mixed placement, with two upstreams of a plain service and two engines.
type testHost struct {
	t          *testing.T
	kernel     *core.Kernel
	now        time.Time
	actions    []core.Action
	otherHosts []core.HostID
}

// routedConfig returns a configuration with routes of each kind. Tests rely on the rendezvous hash of the name of pool
// engine: with the other hosts that they add, h is not its dispatcher and not the next one.
func routedConfig() *core.Config {
	d := &core.Document{
		Revision: 1,
		Accounts: []core.Account{{ID: "a", Weight: 1, Unlimited: true}, {ID: "limited", Weight: 1, Rate: 1, Burst: 1, RequestCost: 1}},
		Keys:     []core.APIKey{{ID: "k", Account: "a", Hash: core.KeyHash{1}}, {ID: "k2", Account: "limited", Hash: core.KeyHash{2}}},
		Pools:    []core.Pool{{ID: "service"}, {ID: "engine", Engine: &core.Engine{Slots: 8, KVCacheTokens: 10_000, KVBlockTokens: 16}}},
		Routes: []core.Route{
			{Name: "call", Host: "h", Path: "/call/", Pool: "service", Timeout: 800 * time.Millisecond, EndToEndTimeout: true, MaxAttempts: 1, LatencyTarget: 100 * time.Millisecond},
			{Name: "call-long", Host: "h", Path: "/call-long/", Pool: "service", Timeout: 14 * time.Second, EndToEndTimeout: true, MaxAttempts: 1, LatencyTarget: 10 * time.Second},
			{Name: "call-two-attempts", Host: "h", Path: "/call-two-attempts/", Pool: "service", Timeout: 800 * time.Millisecond, EndToEndTimeout: true, MaxAttempts: 2, LatencyTarget: 100 * time.Millisecond},
			{Name: "call-idempotent", Host: "h", Path: "/call-idempotent/", Pool: "service", Timeout: 800 * time.Millisecond, EndToEndTimeout: true, MaxAttempts: 2, Idempotent: true, LatencyTarget: 100 * time.Millisecond},
			{Name: "stream-resumable", Host: "h", Path: "/stream-resumable/", Pool: "engine", Timeout: 14 * time.Second, EndToEndTimeout: true, MaxAttempts: 2, Streaming: true, Resumable: true, LatencyTarget: 900 * time.Millisecond},
			{Name: "stream", Host: "h", Path: "/stream/", Pool: "engine", Timeout: 14 * time.Second, EndToEndTimeout: true, MaxAttempts: 1, Streaming: true, LatencyTarget: 900 * time.Millisecond},
		},
	}
	config, err := (&core.Config{}).Apply(&core.Change{Kind: core.ChangeReplaceConfig, Document: d})
	if err != nil {
		panic(err)
	}
	return config
}

func newTestHost(t *testing.T, retryPolicy core.RetryBudget, otherHosts ...core.HostID) *testHost {
	h := &testHost{t: t, now: harness.StartTime, otherHosts: otherHosts}
	env := core.Env{
		Self: "h", Boot: 1, Limits: core.DefaultLimits(), Rand: rand.New(rand.NewPCG(1, 1)), Placement: core.PlacementMixed,
		RetryBudget: retryPolicy, Entry: true, UpstreamHeartbeatTimeout: 5 * time.Second,
		Regions: map[core.DataCentre]core.Region{"dc-a": "a", "dc-b": "b"},
	}
	h.kernel = core.New(env, origin.Plugin(), dispatch.Plugin(), entry.Plugin(false))
	h.step(core.Started{})
	h.step(core.ConfigActivated{Config: routedConfig()})
	h.step(core.LeaseChanged{Expires: h.now.Add(time.Hour)})
	members := []core.Member{{Host: "h", Boot: 1, State: core.MemberAlive, Entry: true}}
	for _, o := range otherHosts {
		members = append(members, core.Member{Host: o, Boot: 1, State: core.MemberAlive, Entry: true})
	}
	h.step(core.MembersChanged{Members: members})
	h.announceUpstreams()
	return h
}

// announceUpstreams delivers the announcements of all upstreams.
func (h *testHost) announceUpstreams() {
	var list core.UpstreamList
	for n, u := range []core.Announcement{
		{ID: "d1", Pool: "service", Role: core.RoleService, Slots: 4},
		{ID: "d2", Pool: "service", Role: core.RoleService, Slots: 4},
		{ID: "e1", Pool: "engine", Role: core.RoleDecode, Slots: 8, MemoryFromConfig: true},
		{ID: "e2", Pool: "engine", Role: core.RoleDecode, Slots: 8, MemoryFromConfig: true},
	} {
		u.Addr, u.Incarnation, u.Seq = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80), 1, 1
		list.Seen = append(list.Seen, core.SeenUpstream{Announcement: u})
	}
	h.step(core.MessageReceived{From: "replica", Message: list})
}

func (h *testHost) step(ev core.Event) { h.actions = append(h.actions, h.kernel.Step(h.now, ev)...) }

// advance moves the clock forward and delivers the ticks that fall due.
func (h *testHost) advance(duration time.Duration) {
	h.now = harness.RunTicks(h.kernel, h.now, duration, func(now time.Time, ev core.Event) {
		h.now = now
		h.step(ev)
	})
}

func (h *testHost) submit(id core.RequestID, path string) {
	h.step(core.RequestArrived{Request: core.Request{
		ID: id, Host: "h", Path: path, KeyHash: core.KeyHash{1}, HasKey: true, PromptTokens: 1000, MaxOutput: 500, Deadline: h.now.Add(10 * time.Second),
	}})
}

// actionsOf returns the emitted actions of one type.
func actionsOf[T core.Action](h *testHost) []T {
	var out []T
	for _, a := range h.actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func (h *testHost) refusal(id core.RequestID) *core.Failure {
	for _, r := range actionsOf[core.RefuseRequest](h) {
		if r.Request == id {
			return r.Failure
		}
	}
	return nil
}

var (
	connectionLost     = core.Fail(core.KindUpstreamFailed, "connection lost")
	notExecuted        = &core.Failure{Kind: core.KindUpstreamRefused, Message: "full", NotExecuted: true}
	defaultRetryPolicy = core.RetryBudget{Ratio: 0.1, Burst: 20}
)

// Guards against retries that the route does not allow: of a call that may have been executed and is not idempotent, or
// beyond the route's maximum of attempts.
func TestCallsAreRetriedOnlyWhereAllowed(t *testing.T) {
	failed := core.StoredResponse{Status: 500}
	for _, c := range []struct {
		name, path  string
		ended       core.CallEnded
		attempts    int
		notExecuted bool
	}{
		{"one attempt, connection lost", "/call/1", core.CallEnded{Failure: connectionLost}, 1, false},
		{"one attempt, not executed", "/call/1", core.CallEnded{Failure: notExecuted}, 1, true},
		{"two attempts, not executed", "/call-two-attempts/1", core.CallEnded{Failure: notExecuted}, 2, true},
		{"two attempts, connection lost", "/call-two-attempts/1", core.CallEnded{Failure: connectionLost}, 1, false},
		{"two attempts, status 500", "/call-two-attempts/1", core.CallEnded{Response: failed}, 1, false},
		{"idempotent, connection lost", "/call-idempotent/1", core.CallEnded{Failure: connectionLost}, 2, false},
		{"idempotent, status 500", "/call-idempotent/1", core.CallEnded{Response: failed}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, defaultRetryPolicy)
			h.submit("r", c.path)
			for n := 0; n < len(actionsOf[core.RunCall](h)); n++ {
				c.ended.Attempt = actionsOf[core.RunCall](h)[n].Attempt
				h.step(c.ended)
			}
			calls := actionsOf[core.RunCall](h)
			require.Len(t, calls, c.attempts)
			if c.attempts == 2 {
				require.NotEqual(t, calls[0].UpstreamID, calls[1].UpstreamID)
			}
			if c.ended.Failure == nil {
				require.Len(t, actionsOf[core.FinishRequest](h), 1, "the caller gets the upstream's own response")
				return
			}
			require.Equal(t, c.notExecuted, h.refusal("r").NotExecuted)
		})
	}
}

func TestStreamsAreRetriedOnlyWhereAllowed(t *testing.T) {
	for _, c := range []struct {
		name, path string
		failure    *core.Failure
		attempts   int
	}{
		{"resumable, connection lost", "/stream-resumable/1", connectionLost, 2},
		{"not resumable, connection lost", "/stream/1", connectionLost, 1},
		{"not resumable, not executed, one attempt", "/stream/1", notExecuted, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, defaultRetryPolicy)
			h.submit("r", c.path)
			for n := 0; n < len(actionsOf[core.RunDecode](h)); n++ {
				h.step(core.DecodeEnded{Attempt: actionsOf[core.RunDecode](h)[n].Attempt, RelayedTokens: 3, Failure: c.failure, ConnectionLost: !c.failure.NotExecuted})
			}
			require.Len(t, actionsOf[core.RunDecode](h), c.attempts)
			require.NotNil(t, h.refusal("r"))
		})
	}
}

// Guards against a refund of tokens for a request that may have been executed.
func TestOnlyUnexecutedRequestsAreRefunded(t *testing.T) {
	for _, c := range []struct {
		name    string
		prefill bool
		end     core.DecodeEnded
		refund  core.Tokens
	}{
		{"stream completed", false, core.DecodeEnded{RelayedTokens: 40}, 0},
		{"stream completed after a prefill", true, core.DecodeEnded{RelayedTokens: 40}, 0},
		{"stream, connection lost", false, core.DecodeEnded{RelayedTokens: 3, Failure: connectionLost, ConnectionLost: true}, 0},
		{"stream not executed", false, core.DecodeEnded{Failure: notExecuted}, 1500},
	} {
		t.Run(c.name, func(t *testing.T) {
			var refunded core.Tokens
			watch := core.Plugin{Name: "watch", Rank: 99, New: func(core.Env) core.Component {
				return core.Component{Handle: func(t *core.Turn, ev core.Event) {
					switch e := ev.(type) {
					case core.AcquireQuota:
						t.Post(core.QuotaAcquired{Request: e.Request})
					case core.RefundQuota:
						refunded += e.Amount
					}
				}}
			}}
			h := newTestHost(t, defaultRetryPolicy)
			config := routedConfig()
			config.Accounts = []core.Account{{ID: "a", Weight: 1, Rate: 1e6, Burst: 1e6}}
			env := core.Env{Self: "h", Boot: 1, Limits: core.DefaultLimits(), Rand: rand.New(rand.NewPCG(1, 1)), Placement: core.PlacementMixed, Entry: true}
			h.kernel = core.New(env, dispatch.Plugin(), entry.Plugin(false), watch)
			h.step(core.ConfigActivated{Config: config})
			h.step(core.LeaseChanged{Expires: h.now.Add(time.Hour)})
			h.step(core.MembersChanged{Members: []core.Member{{Host: "h", Boot: 1, State: core.MemberAlive, Entry: true}}})
			h.announceUpstreams()
			if c.prefill {
				p := core.Announcement{ID: "p1", Pool: "engine", Role: core.RolePrefill, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 1, Addr: netip.MustParseAddrPort("10.0.1.9:80")}
				h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: p}}}})
			}
			h.submit("r", "/stream/1")
			c.end.Attempt = core.AttemptID{Request: "r", Number: 1}
			if c.prefill {
				require.Len(t, actionsOf[core.RunPrefill](h), 1)
				h.step(core.PrefillEnded{Attempt: c.end.Attempt, PromptTokens: 1000})
			}
			h.step(c.end)
			require.Equal(t, c.refund, refunded)
		})
	}
}

// The earlier of the route's end-to-end timeout and the request's deadline aborts the running attempt; both count from
// the arrival.
func TestEndToEndTimeoutEndsRequest(t *testing.T) {
	for path, timeout := range map[string]time.Duration{"/call/1": 800 * time.Millisecond, "/stream-resumable/1": 10 * time.Second} {
		h := newTestHost(t, defaultRetryPolicy)
		h.submit("r", path)
		h.advance(timeout - time.Millisecond)
		require.Nil(t, h.refusal("r"), path)
		h.advance(2 * time.Millisecond)
		require.Equal(t, core.KindDeadlineExceeded, h.refusal("r").Kind, path)
		require.False(t, h.refusal("r").NotExecuted, path)
		require.Len(t, actionsOf[core.AbortAttempt](h), 1, path)
	}
}

// The traffic goroutine's own timer may fire first at the deadline; the request must fail with the same error.
func TestAttemptEndingAtDeadlineExceedsIt(t *testing.T) {
	for _, path := range []string{"/call/1", "/call-idempotent/1", "/stream/1"} {
		h := newTestHost(t, defaultRetryPolicy)
		h.submit("r", path)
		a := core.AttemptID{Request: "r", Number: 1}
		h.now = h.now.Add(10 * time.Second)
		h.step(core.CallEnded{Attempt: a, Failure: connectionLost})
		h.step(core.DecodeEnded{Attempt: a, Failure: connectionLost, ConnectionLost: true})
		require.Equal(t, core.KindDeadlineExceeded, h.refusal("r").Kind, path)
		require.False(t, h.refusal("r").NotExecuted, path)
	}
}

func TestDisconnectAbortsOnlyRetryableCallsAndStreams(t *testing.T) {
	for path, aborts := range map[string]int{"/call-idempotent/1": 1, "/stream-resumable/1": 1, "/stream/1": 1, "/call/1": 0} {
		h := newTestHost(t, defaultRetryPolicy)
		h.submit("r", path)
		h.step(core.CallerDisconnected{Request: "r"})
		require.Len(t, actionsOf[core.AbortAttempt](h), aborts, path)
	}
}

// Guards against a stream that waits for its placement longer than its caller does: the wait counts from the arrival,
// and placement requests that are resent to the same dispatcher do not extend it.
func TestPlacementWaitCountsFromArrival(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	for _, id := range []core.UpstreamID{"e1", "e2"} {
		h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Deregistered: []core.UpstreamDeregistered{{ID: id}}}})
	}
	h.submit("r", "/stream-resumable/1")
	for range 2 {
		// A resent placement request must not extend the wait.
		h.advance(time.Second)
		h.step(core.MembersChanged{Members: []core.Member{{Host: "h", Boot: 1, State: core.MemberAlive, Entry: true}}})
	}
	require.Nil(t, h.refusal("r"))
	h.advance(1500 * time.Millisecond)
	require.NotNil(t, h.refusal("r"), "callers time out after 3.6 s")
	require.True(t, h.refusal("r").NotExecuted)
}

// Guards against retries of all hosts together that exceed the shared burst plus the ratio of completed requests. The rejected
// calls put the pool under pressure; the host is its dispatcher and waits for the claims of the other hosts, which are silent.
func TestRetryBudgetIsShared(t *testing.T) {
	const claimsTimeout = 100 * time.Millisecond
	policy := core.RetryBudget{Ratio: 0.1, Burst: 12, Shared: true}
	retries := func(h *testHost, requests int) int {
		for n := range requests {
			id := core.RequestID(fmt.Sprint("r", n))
			before := len(actionsOf[core.RunCall](h))
			h.submit(id, "/call-idempotent/1")
			if len(actionsOf[core.RunCall](h)) == before {
				h.advance(claimsTimeout)
			}
			for {
				calls := actionsOf[core.RunCall](h)
				last := calls[len(calls)-1]
				if last.Attempt.Request != id || h.refusal(id) != nil {
					break
				}
				h.step(core.CallEnded{Attempt: last.Attempt, Failure: notExecuted})
			}
		}
		return len(actionsOf[core.RunCall](h)) - requests
	}
	require.Equal(t, 12, retries(newTestHost(t, policy), 50))
	shared := newTestHost(t, policy, "b", "c", "d")
	require.Equal(t, 3, retries(shared, 50), "a quarter of the burst")
	isolated := newTestHost(t, policy, "b", "c", "d")
	isolated.step(core.MembersChanged{Members: []core.Member{{Host: "h", Boot: 1, State: core.MemberAlive, Entry: true}}})
	require.Equal(t, 3, retries(isolated, 50), "an isolated host keeps to its share")
}

// A retry that repeats the prefill sends two requests to engines, and the shared budget must count both.
func TestRetryBudgetCountsRepeatedPrefills(t *testing.T) {
	const requests, burst = 50, 12
	h := newTestHost(t, core.RetryBudget{Ratio: 0.1, Burst: burst, Shared: true})
	p := core.Announcement{ID: "p1", Pool: "engine", Role: core.RolePrefill, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 1, Addr: netip.MustParseAddrPort("10.0.1.9:80")}
	h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: p}}}})
	for n := range requests {
		id := core.RequestID(fmt.Sprint("r", n))
		h.submit(id, "/stream-resumable/1")
		for seen := 0; seen < len(h.actions); seen++ {
			switch a := h.actions[seen].(type) {
			case core.RunPrefill:
				if a.Attempt.Request == id {
					h.step(core.PrefillEnded{Attempt: a.Attempt, PromptTokens: 1000})
				}
			case core.RunDecode:
				if a.Attempt.Request == id {
					h.step(core.DecodeEnded{Attempt: a.Attempt, Failure: notExecuted})
				}
			}
		}
		require.NotNil(t, h.refusal(id))
	}
	// Engines that refuse everything get requests without a prefill, so each request counts its own.
	prefills, decodes := map[core.RequestID]int{}, map[core.RequestID]int{}
	for _, a := range actionsOf[core.RunPrefill](h) {
		prefills[a.Attempt.Request]++
	}
	for _, a := range actionsOf[core.RunDecode](h) {
		decodes[a.Attempt.Request]++
	}
	beyondFirst := 0
	for n := range requests {
		id := core.RequestID(fmt.Sprint("r", n))
		beyondFirst += max(0, prefills[id]-1) + max(0, decodes[id]-1)
		require.Positive(t, prefills[id]+decodes[id], "%s was sent", id)
	}
	require.LessOrEqual(t, beyondFirst, burst)
	require.Greater(t, len(actionsOf[core.RunDecode](h)), len(decodes), "some requests are retried")
	require.NotEmpty(t, prefills)
}

// A placement request without a response is placed by the local dispatcher; one that was queued is not.
func TestUnresponsiveDispatcherIsBypassed(t *testing.T) {
	awaitingGrant := func() (*testHost, core.HostID) {
		for n := range 20 {
			other := core.HostID(fmt.Sprint("o", n))
			h := newTestHost(t, defaultRetryPolicy, other)
			h.submit("r", "/stream-resumable/1")
			if len(actionsOf[core.RunDecode](h)) == 0 {
				return h, other
			}
		}
		require.Fail(t, "none of the other hosts dispatches the pool")
		return nil, ""
	}
	h, _ := awaitingGrant()
	h.advance(150 * time.Millisecond)
	require.Len(t, actionsOf[core.RunDecode](h), 1)
	h.submit("r2", "/stream-resumable/2")
	require.Len(t, actionsOf[core.RunDecode](h), 2, "the dispatcher gets no requests during its back-off")

	h, other := awaitingGrant()
	h.step(core.MessageReceived{From: other, Message: core.PlacementQueued{Attempt: core.AttemptID{Request: "r", Number: 1}}})
	h.advance(250 * time.Millisecond)
	require.Empty(t, actionsOf[core.RunDecode](h))
	h.advance(200 * time.Millisecond)
	require.Len(t, actionsOf[core.RunDecode](h), 1, "the dispatcher queued the request and then became unresponsive")

	h, other = awaitingGrant()
	h.advance(150 * time.Millisecond)
	h.step(core.MessageReceived{From: other, Message: core.PlacementGrant{Attempt: core.AttemptID{Request: "r", Number: 1}, Pool: "engine", Decode: "e2"}})
	sent := actionsOf[core.SendMessage](h)
	require.IsType(t, core.PlacementRelease{}, sent[len(sent)-1].Message, "a late grant is released")
	require.Len(t, actionsOf[core.RunDecode](h), 1)
}

// placementHosts returns the distinct hosts that were sent a placement request for a request, in order.
func (h *testHost) placementHosts(id core.RequestID) []core.HostID {
	var out []core.HostID
	for _, m := range actionsOf[core.SendMessage](h) {
		if a, ok := m.Message.(core.PlacementRequest); ok && a.Attempt.Request == id && !slices.Contains(out, m.To) {
			out = append(out, m.To)
		}
	}
	return out
}

// If a dispatcher is unresponsive, every host sends requests to the same other host, the one with the next highest
// rendezvous hash; if that one is unresponsive too, the local dispatcher places the request.
func TestNextHostDispatchesIfOneIsUnresponsive(t *testing.T) {
	otherHosts := []core.HostID{"o1", "o2", "o3", "o4"}
	h := newTestHost(t, defaultRetryPolicy, otherHosts...)
	h.submit("r", "/stream-resumable/1")
	h.advance(250 * time.Millisecond)
	unresponsive := h.placementHosts("r")
	require.Len(t, unresponsive, 2, "two other hosts get requests before the local dispatcher")
	require.Len(t, actionsOf[core.RunDecode](h), 1, "then the local dispatcher places the request")
	require.NotContains(t, unresponsive, core.HostID("h"))

	h = newTestHost(t, defaultRetryPolicy, otherHosts...)
	h.submit("r", "/stream-resumable/1")
	h.advance(110 * time.Millisecond)
	first, next := h.placementHosts("r")[0], h.placementHosts("r")[1]
	a := core.AttemptID{Request: "r", Number: 1}
	require.Contains(t, actionsOf[core.SendMessage](h), core.SendMessage{To: first, Message: core.PlacementRelease{Attempt: a, Pool: "engine"}}, "a slow dispatcher must not keep its reservation")
	h.actions = nil
	h.step(core.MessageReceived{From: next, Message: core.PlacementGrant{Attempt: a, Pool: "engine", Decode: "e2"}})
	require.Equal(t, core.UpstreamID("e2"), actionsOf[core.RunDecode](h)[0].UpstreamID)
	h.step(core.MessageReceived{From: "o9", Message: core.PlacementClaimsRequest{Pool: "engine"}})
	sent := actionsOf[core.SendMessage](h)
	require.Len(t, sent[len(sent)-1].Message.(core.PlacementClaimsResponse).Claims, 1)
	h.step(core.DecodeEnded{Attempt: a, RelayedTokens: 3})
	released := map[core.HostID]bool{}
	for _, m := range actionsOf[core.SendMessage](h) {
		if _, ok := m.Message.(core.PlacementRelease); ok {
			released[m.To] = true
		}
	}
	require.Equal(t, map[core.HostID]bool{next: true, "o9": true}, released, "the host that took over the pool gets the release too")
}

// Guards against new work for a leaving upstream: a dispatcher that is partitioned from the replicas may still grant
// it, and the entry host must reject the grant.
func TestGrantAtLeavingUpstreamIsRejected(t *testing.T) {
	for n := range 20 {
		other := core.HostID(fmt.Sprint("o", n))
		h := newTestHost(t, defaultRetryPolicy, other)
		h.submit("r", "/stream-resumable/1")
		if len(actionsOf[core.RunDecode](h)) > 0 {
			continue
		}
		leaving := core.Announcement{ID: "e2", Pool: "engine", Role: core.RoleDecode, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 2, Leaving: true}
		leaving.Addr = netip.MustParseAddrPort("10.0.1.3:80")
		h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: leaving}}}})
		a := core.AttemptID{Request: "r", Number: 1}
		h.step(core.MessageReceived{From: other, Message: core.PlacementGrant{Attempt: a, Pool: "engine", Decode: "e2"}})
		require.Contains(t, actionsOf[core.SendMessage](h), core.SendMessage{To: other, Message: core.PlacementRelease{Attempt: a, Pool: "engine", Unused: true}})
		// The host takes over the pool and waits for the other host's claims.
		h.advance(60 * time.Millisecond)
		runs := actionsOf[core.RunDecode](h)
		require.Len(t, runs, 1)
		require.Equal(t, core.UpstreamID("e1"), runs[0].UpstreamID)
		return
	}
	require.Fail(t, "none of the other hosts dispatches the pool")
}

func TestLameDuckAcceptsWhatCanStillFinish(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.step(core.LameDuck{LongUntil: h.now.Add(2 * time.Second), EndsAt: h.now.Add(shutdownTime)})
	published := actionsOf[core.PublishState](h)
	require.True(t, published[len(published)-1].Draining)
	h.submit("s1", "/stream/1")
	h.submit("c1", "/call/1")
	require.Nil(t, h.refusal("s1"))
	require.Nil(t, h.refusal("c1"))
	h.advance(2 * time.Second)
	h.submit("s2", "/stream/1")
	h.submit("c2", "/call/1")
	require.True(t, h.refusal("s2").NotExecuted)
	require.Nil(t, h.refusal("c2"))
	h.step(core.Draining{})
	h.submit("c3", "/call/1")
	require.True(t, h.refusal("c3").NotExecuted)
}

// Requests on a host that has just started wait a limited time for its first configuration. Later they are refused at
// once.
func TestRequestsAwaitFirstConfig(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.step(core.ConfigActivated{Config: &core.Config{}})
	h.submit("waits", "/call/1")
	h.submit("disconnects", "/call/1")
	h.advance(200 * time.Millisecond)
	require.Nil(t, h.refusal("waits"))
	h.step(core.CallerDisconnected{Request: "disconnects"})
	h.step(core.ConfigActivated{Config: routedConfig()})
	calls := actionsOf[core.RunCall](h)
	require.Len(t, calls, 1, "the request whose caller is still connected runs")
	require.Equal(t, core.RequestID("waits"), calls[0].Attempt.Request)
	h.advance(601 * time.Millisecond)
	require.Equal(t, core.KindDeadlineExceeded, h.refusal("waits").Kind, "the route's timeout counts from the arrival")

	h = newTestHost(t, defaultRetryPolicy)
	h.step(core.ConfigActivated{Config: &core.Config{}})
	h.submit("early", "/call/1")
	h.advance(time.Second)
	require.Equal(t, core.KindNotReady, h.refusal("early").Kind)
	require.True(t, h.refusal("early").NotExecuted)
	h.advance(3 * time.Second)
	h.submit("late", "/call/1")
	require.Equal(t, core.KindNotReady, h.refusal("late").Kind, "refused at once")
	h.step(core.ConfigActivated{Config: routedConfig()})
	require.Empty(t, actionsOf[core.RunCall](h), "a refused request does not run")
}

// Guards against repeated work for an upstream whose identity or role has changed: it gets no attempts until it
// announces itself again, and a stream that it refused as misdirected is not sent there a second time.
func TestMisdirectedUpstreamGetsNoAttempts(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	misdirected := &core.Failure{Kind: core.KindMisdirected, Message: "another upstream", NotExecuted: true}
	prefill := core.Announcement{ID: "p1", Pool: "engine", Role: core.RolePrefill, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 1, Addr: netip.MustParseAddrPort("10.0.1.9:80")}
	h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: prefill}}}})
	h.submit("r", "/stream/1")
	a := core.AttemptID{Request: "r", Number: 1}
	h.step(core.PrefillEnded{Attempt: a, PromptTokens: 1000})
	first := actionsOf[core.RunDecode](h)[0].UpstreamID
	h.step(core.DecodeEnded{Attempt: a, Failure: misdirected})
	require.Len(t, actionsOf[core.RunDecode](h), 1)
	require.True(t, h.refusal("r").NotExecuted)

	submitted := 0
	chosen := func(n int) []core.UpstreamID {
		var out []core.UpstreamID
		for range n {
			submitted++
			id := core.RequestID(fmt.Sprint("q", submitted))
			h.submit(id, "/stream/1")
			h.step(core.PrefillEnded{Attempt: core.AttemptID{Request: id, Number: 1}, PromptTokens: 1000})
			runs := actionsOf[core.RunDecode](h)
			out = append(out, runs[len(runs)-1].UpstreamID)
		}
		return out
	}
	require.NotContains(t, chosen(4), first)
	h.announceUpstreams()
	require.NotContains(t, chosen(1), first, "a repeated announcement changes nothing")
	update := core.Announcement{ID: first, Pool: "engine", Role: core.RoleDecode, Slots: 8, MemoryFromConfig: true, Incarnation: 1, Seq: 2, Addr: netip.MustParseAddrPort("10.0.1.8:80")}
	h.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: update}}}})
	require.Contains(t, chosen(1), first)
}
