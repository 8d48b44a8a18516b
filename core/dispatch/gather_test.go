package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

var (
	hostE = core.Member{Host: "e", Boot: 1, State: core.MemberAlive, Entry: true}
	hostF = core.Member{Host: "f", Boot: 1, State: core.MemberAlive, Entry: true}
)

func (d *desk) askSized(n int, from core.HostID) {
	d.step(core.Received{From: from, Message: core.PlaceAsk{Attempt: attempt(n), Boot: 1, Account: "a", Pool: pool, Weight: 1, Prompt: 15_000, Output: 1000, Left: time.Minute}})
}

// claimAsks returns the hosts that some actions ask for their claims.
func claimAsks(actions []core.Action) []core.HostID {
	var out []core.HostID
	for _, a := range actions {
		if m, ok := a.(core.SendMessage); ok {
			if _, ok := m.Message.(core.ClaimAsk); ok {
				out = append(out, m.To)
			}
		}
	}
	return out
}

// A host that is asked for the first time in a while places only when it knows what other hosts run in the pool.
func TestPoolIsTakenOverWithItsClaims(t *testing.T) {
	d := sizedDesk(0, 1, hostE, hostF)
	asks := claimAsks(d.step(core.Received{From: "e", Message: core.PlaceAsk{Attempt: attempt(1), Boot: 1, Account: "a", Pool: pool, Weight: 1, Prompt: 15_000, Output: 1000, Left: time.Minute}}))
	require.ElementsMatch(t, []core.HostID{"e", "f"}, asks, "and itself, whose messages stay inside")
	require.Empty(t, d.placed)
	full := core.Claim{
		Ask:      core.PlaceAsk{Attempt: attempt(100), Boot: 1, Account: "a", Pool: pool, Prompt: 30_000, Output: 1000},
		Placed:   core.Placed{Attempt: attempt(100), Pool: pool, Decode: "u0"},
		Decoding: true,
	}
	d.step(core.Received{From: "d", Message: core.Claims{Pool: pool}})
	d.step(core.Received{From: "e", Message: core.Claims{Pool: pool}})
	require.Empty(t, d.placed, "one host has not answered yet")
	d.step(core.Received{From: "f", Message: core.Claims{Pool: pool, Claims: []core.Claim{full}}})
	require.Empty(t, d.placed, "the engine is full")
	d.step(core.Received{From: "f", Message: core.PlaceDone{Attempt: attempt(100), Pool: pool}})
	require.Contains(t, d.placed, attempt(1))
	d.done(1)

	d.askSized(2, "f")
	require.Contains(t, d.placed, attempt(2), "a host that is asked all the time knows the pool")
	d.done(2)
}

// Hosts that do not answer hold up placements for a moment only.
func TestGatheringClaimsEnds(t *testing.T) {
	d := sizedDesk(0, 1, hostE, hostF)
	d.askSized(1, "e")
	require.Empty(t, d.placed)
	d.pass(60 * time.Millisecond)
	require.Contains(t, d.placed, attempt(1))
}

// A host that places by its own ledger leaves the other hosts their parts of an engine.
func TestHostThatIsAloneTakesItsPart(t *testing.T) {
	alone := func(n int, beside core.Tokens) core.PlaceAsk {
		return core.PlaceAsk{
			Attempt: attempt(n), Boot: 1, Account: "a", Pool: pool, Weight: 1, Prompt: 3900, Output: 1000, Left: time.Minute,
			Alone: &core.Alone{Hosts: 6, Beside: map[core.UpstreamID]core.Tokens{"u0": beside}},
		}
	}
	d := sizedDesk(0, 1)
	for n := range 4 {
		d.step(core.Received{From: "e", Message: alone(n, 0)})
	}
	require.Len(t, d.placed, 2, "1.5 sixths of 40,000 tokens")
	d = sizedDesk(0, 1)
	d.step(core.Received{From: "e", Message: alone(1, 8000)})
	require.Empty(t, d.placed, "what another ledger placed counts too")
	d.step(core.Received{From: "e", Message: alone(1, 0)})
	d.pass(100 * time.Millisecond)
	require.Len(t, d.placed, 1, "an ask that is repeated brings the news")
}
