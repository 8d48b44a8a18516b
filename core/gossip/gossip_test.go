package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/gossip"
	"oleanderlever/core/harness"
)

// acceptAll returns a plug-in that has every item passed on and counts the items that its host receives.
func acceptAll(received map[core.HostID]int) core.Plugin {
	return core.Plugin{Name: "acceptAll", Rank: 9, New: func(env core.Env) core.Component {
		return core.Component{Handle: func(t *core.Turn, ev core.Event) {
			if e, ok := ev.(core.ObservationReceived); ok {
				received[env.Self]++
				t.Post(core.PassOn{Item: e.Item})
			}
		}}
	}}
}

func failure(n int) core.ShareObservation {
	return core.ShareObservation{Observation: core.Observation{
		UpstreamFailure: &core.UpstreamFailure{Pool: "p", Upstream: core.UpstreamID(fmt.Sprint("u", n)), Incarnation: 1},
	}}
}

func members(hosts []*harness.Host) core.MembersChanged {
	var m core.MembersChanged
	for _, h := range hosts {
		m.Members = append(m.Members, core.Member{Host: h.ID, Boot: 1, State: core.MemberAlive, Entry: true})
	}
	return m
}

// Items spread while messages are lost, duplicated and late by seconds, and hosts restart and forget what they had received.
// The fleet must fall silent, and nearly all hosts that were up must have received each item.
func TestItemsReachTheFleetAndEnd(t *testing.T) {
	for seed := range uint64(10) {
		received := map[core.HostID]int{}
		r := harness.New(harness.Config{
			Seed: seed, Hosts: 60, LossRate: 0.02, DuplicateRate: 0.1, MinDelay: time.Millisecond, MaxDelay: 3 * time.Second,
			Plugins: []core.Plugin{gossip.Plugin(), acceptAll(received)},
		})
		sent := 0
		r.OnSend = func(*harness.Host, core.SendMessage) { sent++ }
		for _, h := range r.Hosts {
			r.Post(h, members(r.Hosts))
		}
		const items, restarts = 5, 20
		for n := range items {
			r.Post(r.Hosts[n], failure(n))
		}
		for range restarts {
			h := r.Hosts[items+r.Rand.IntN(len(r.Hosts)-items)]
			r.Crash(h)
			r.Boot(h)
			r.Post(h, members(r.Hosts))
			r.RunFor(500 * time.Millisecond)
		}
		r.RunFor(time.Minute)
		before := sent
		r.RunFor(time.Hour)
		require.Equal(t, before, sent, "seed %d: messages after a minute of silence", seed)
		require.LessOrEqual(t, sent, items*(len(r.Hosts)+restarts)*4, "seed %d", seed)
		total := 0
		for _, n := range received {
			total += n
		}
		require.Greater(t, total, items*len(r.Hosts)*9/10, "seed %d", seed)
	}
}

// A host that remembers no item any more, or has no room, does not pass copies on without end.
func TestCopiesHaveAHopLimit(t *testing.T) {
	received := map[core.HostID]int{}
	env := core.Env{Self: "a", Boot: 1, Rand: rand.New(rand.NewPCG(1, 1)), Limits: core.DefaultLimits()}
	k := core.New(env, gossip.Plugin(), acceptAll(received))
	now := harness.StartTime
	k.Step(now, core.MembersChanged{Members: []core.Member{{Host: "b", Entry: true}, {Host: "c"}}})
	item := core.GossipItem{ID: core.GossipID{Host: "d", Boot: 1, Number: 1}, Hops: core.MaxGossipHops - 1}
	for hops := item.Hops; hops > 0; hops-- {
		actions := k.Step(now, core.MessageReceived{From: "b", Message: core.Gossip{Item: item}})
		require.Len(t, actions, 1, "only b is an entry host")
		item = actions[0].(core.SendMessage).Message.(core.Gossip).Item
		require.Equal(t, hops-1, item.Hops)
		now = now.Add(time.Hour)
	}
	require.Empty(t, k.Step(now, core.MessageReceived{From: "b", Message: core.Gossip{Item: item}}))
}

// One item costs each host a few messages, whatever the number of hosts, and reaches nearly all of them in some milliseconds. The
// figures are in docs/CAPACITY.md.
func TestSpreadOfAnItem(t *testing.T) {
	for _, hosts := range []int{30, 100, 340} {
		received := map[core.HostID]int{}
		r := harness.New(harness.Config{
			Seed: 1, Hosts: hosts, LossRate: 0.02, MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond,
			Plugins: []core.Plugin{gossip.Plugin(), acceptAll(received)},
		})
		sent, last := 0, harness.StartTime
		r.OnSend = func(*harness.Host, core.SendMessage) {
			sent++
			last = r.Now
		}
		for _, h := range r.Hosts {
			r.Post(h, members(r.Hosts))
		}
		r.Post(r.Hosts[0], failure(1))
		r.RunFor(time.Minute)
		t.Logf("%d hosts: %d messages, the last one after %v; %d hosts reached", hosts, sent, last.Sub(harness.StartTime), len(received)+1)
		require.LessOrEqual(t, sent, 4*hosts)
		require.Greater(t, len(received), hosts*9/10)
	}
}
