package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
	"oleanderlever/core/gossip"
	"oleanderlever/core/harness"
)

// desk is a fleet of entry hosts that call a plain service with the upstreams s1 to s4.
type desk struct {
	*harness.Run
	grants map[core.AttemptID]core.UpstreamID
	calls  int
	// sent counts the messages between hosts, lastSent is when the last one was sent.
	sent     int
	lastSent time.Time
}

func newDesk(seed uint64, hosts int) *desk {
	d := &desk{grants: map[core.AttemptID]core.UpstreamID{}}
	d.Run = harness.New(harness.Config{
		Seed: seed, Hosts: hosts, MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond, DuplicateRate: 0.05,
		Plugins: []core.Plugin{gossip.Plugin(), dispatch.Plugin()},
		AdjustEnv: func(env *core.Env) {
			env.Placement, env.UpstreamHeartbeatTimeout = core.PlacementMixed, time.Hour
		},
	})
	d.OnSend = func(_ *harness.Host, m core.SendMessage) {
		if g, ok := m.Message.(core.PlacementGrant); ok {
			d.grants[g.Attempt] = g.Decode
			return
		}
		if m.To != leavingEntryHost.Host {
			d.sent++
			d.lastSent = d.Now
		}
	}
	members := []core.Member{leavingEntryHost, {Host: "replica", Boot: listBoot, State: core.MemberAlive}}
	for _, h := range d.Hosts {
		members = append(members, core.Member{Host: h.ID, Boot: 1, State: core.MemberAlive, Entry: true})
	}
	list := core.UpstreamList{Version: 3, Boot: listBoot}
	for n := range 4 {
		list.Seen = append(list.Seen, serviceAnnouncement(core.UpstreamID(fmt.Sprint("s", n+1)), 1))
	}
	for _, h := range d.Hosts {
		d.Post(h, core.MembersChanged{Members: members})
		d.Post(h, core.ConfigActivated{Config: &core.Config{}})
		d.Post(h, core.MessageReceived{From: "replica", Message: list})
	}
	return d
}

// call makes a call through a host; one at s1 fails. It reports whether it was sent to s1.
func (d *desk) call(h *harness.Host) bool {
	d.calls++
	r := core.PlacementRequest{
		Attempt: attempt(d.calls), Boot: 1, Account: "a", Pool: "desk", Weight: 1, PlainService: true, Repeatable: true,
		LocalLoad: &core.LocalLoad{EntryHosts: 1},
	}
	d.Post(h, core.MessageReceived{From: leavingEntryHost.Host, Message: r})
	release := core.PlacementRelease{Attempt: r.Attempt, Pool: "desk"}
	if d.grants[r.Attempt] == "s1" {
		release.FailedUpstream = "s1"
	}
	d.Post(h, core.MessageReceived{From: leavingEntryHost.Host, Message: release})
	return release.FailedUpstream != ""
}

// failOnce makes calls through a host until one fails at s1.
func (d *desk) failOnce(h *harness.Host) {
	for failed := false; !failed; {
		failed = d.call(h)
	}
}

// witnessTTL is how long a failure counts; gossipFanout is the number of hosts that a host tells of one.
const (
	witnessTTL   = time.Second
	gossipFanout = 4
)

// A report of a failure that is forgotten at the age at which it is still passed on circulates for ever: the second failure
// comes just before the first one is forgotten. Each other host may pass each of the two reports on once, and all is quiet two
// lives of a report after the second failure.
func TestReportsOfFailuresStopSpreading(t *testing.T) {
	gaps := []time.Duration{0, witnessTTL / 2}
	for early := 500 * time.Microsecond; early <= 6*time.Millisecond; early += 500 * time.Microsecond {
		gaps = append(gaps, witnessTTL-early)
	}
	for _, hosts := range []int{12, 40, 191} {
		for seed, gap := range gaps {
			d := newDesk(uint64(seed), hosts)
			d.failOnce(d.Hosts[0])
			d.RunFor(gap)
			d.failOnce(d.Hosts[1])
			for d.Now.Sub(harness.StartTime) < gap+10*time.Second && d.sent <= 2*hosts*gossipFanout {
				d.RunFor(100 * time.Millisecond)
			}
			require.LessOrEqual(t, d.sent, 2*hosts*gossipFanout, "%d hosts, %v between the failures", hosts, gap)
			require.Less(t, d.lastSent.Sub(harness.StartTime), gap+2*witnessTTL, "%d hosts, %v between the failures", hosts, gap)
		}
	}
}

// All hosts see failures for three seconds. Each passes on no more than a few reports a second, and the last message follows
// the last failure within two lives of a report.
func TestReportsOfContinuingFailuresAreBounded(t *testing.T) {
	const failing, interval, reportsPerLife = 3 * time.Second, 50 * time.Millisecond, 3
	for _, hosts := range []int{12, 40, 191} {
		d := newDesk(1, hosts)
		for d.Now.Sub(harness.StartTime) < failing {
			for _, h := range d.Hosts {
				d.call(h)
			}
			d.RunFor(interval)
		}
		lives := int(failing/witnessTTL) + 1
		d.RunFor(10 * time.Second)
		require.LessOrEqual(t, d.sent, lives*reportsPerLife*hosts*gossipFanout, "%d hosts", hosts)
		require.Less(t, d.lastSent.Sub(harness.StartTime), failing+2*witnessTTL, "%d hosts", hosts)
	}
}

// A copy of a report that arrives long after the failure, or again, has no effect and is not passed on.
func TestLateReportsAreIgnored(t *testing.T) {
	d := newServiceDriver(20)
	item := core.GossipItem{
		ID: core.GossipID{Host: "f1", Boot: 1, Number: 1}, Hops: 3,
		Observation: core.Observation{UpstreamFailure: &core.UpstreamFailure{Pool: "desk", Upstream: "s1", Incarnation: 1}},
	}
	require.Len(t, d.receive(item), gossipFanout)
	d.run(30, 3)
	require.Empty(t, d.receive(item))
	last := item
	last.ID.Number, last.Hops = 2, 0
	require.Empty(t, d.receive(last), "this copy may not be passed on")
}
