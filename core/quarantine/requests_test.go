package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/gossip"
	"oleanderlever/core/harness"
	"oleanderlever/core/quarantine"
)

const (
	deadlyRequest = uint64(7)
	soundRequest  = uint64(8)
)

// callFleet consists of hosts with the gossip and quarantine plug-ins that report how requests ended.
type callFleet struct {
	*harness.Run
	quarantined map[core.HostID][]uint64
	crashes     int
}

func newCallFleet(c harness.Config) *callFleet {
	f := &callFleet{quarantined: map[core.HostID][]uint64{}}
	watch := core.Plugin{Name: "watch", Rank: 90, New: func(env core.Env) core.Component {
		f.quarantined[env.Self] = nil
		return core.Component{Handle: func(_ *core.Turn, ev core.Event) {
			if e, ok := ev.(core.RequestQuarantineChanged); ok {
				f.quarantined[env.Self] = e.Fingerprints
			}
		}}
	}}
	c.MinDelay = time.Millisecond
	c.Plugins = []core.Plugin{gossip.Plugin(), quarantine.Plugin(), watch}
	f.Run = harness.New(c)
	f.PostMembers()
	return f
}

// crash reports that a new incarnation of an upstream ended with a request.
func (f *callFleet) crash(h *harness.Host, fingerprint uint64) {
	f.crashes++
	f.Post(h, core.RequestCrashed{Fingerprint: fingerprint, Upstream: "u", Incarnation: uint64(f.crashes)})
}

func (f *callFleet) quarantinedOn(fingerprint uint64) (hosts int) {
	for _, h := range f.Hosts {
		if slices.Contains(f.quarantined[h.ID], fingerprint) {
			hosts++
		}
	}
	return hosts
}

// Three crashes on different hosts must stop a request on all of them, also if messages are lost and there are many hosts. A host that
// has heard of nothing may forward it, but after the time to spread the news at most three times in all.
func TestRequestIsStoppedEverywhere(t *testing.T) {
	for _, hosts := range []int{1, 3, 9, 80, 191} {
		for seed := range uint64(5) {
			f := newCallFleet(harness.Config{Seed: seed, Hosts: hosts, MaxDelay: 20 * time.Millisecond, LossRate: 0.05, DuplicateRate: 0.02})
			for range 2 {
				f.crash(f.Hosts[f.Rand.IntN(hosts)], deadlyRequest)
				f.RunFor(200 * time.Millisecond)
			}
			require.Zero(t, f.quarantinedOn(deadlyRequest), "%d hosts, seed %d", hosts, seed)
			f.crash(f.Hosts[f.Rand.IntN(hosts)], deadlyRequest)
			f.RunFor(contactTime)
			for range 50 {
				if h := f.Hosts[f.Rand.IntN(hosts)]; !slices.Contains(f.quarantined[h.ID], deadlyRequest) {
					f.crash(h, deadlyRequest)
				}
				f.RunFor(200 * time.Millisecond)
			}
			require.LessOrEqual(t, f.crashes, 3+allowedLate, "%d hosts, seed %d", hosts, seed)
			require.Equal(t, hosts, f.quarantinedOn(deadlyRequest), "%d hosts, seed %d", hosts, seed)
		}
	}
}

// All hosts report the crash of one incarnation: that is one crash. The next incarnation under the same ID crashes anew.
func TestCrashOfOneIncarnationIsCountedOnce(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 9, MaxDelay: 5 * time.Millisecond})
	for range 4 {
		for _, h := range f.Hosts {
			f.Post(h, core.RequestCrashed{Fingerprint: soundRequest, Upstream: "u", Incarnation: 1})
		}
		f.RunFor(5 * time.Second)
	}
	require.Zero(t, f.quarantinedOn(soundRequest))
	for n := range uint64(2) {
		f.Post(f.Hosts[0], core.RequestCrashed{Fingerprint: soundRequest, Upstream: "u", Incarnation: 2 + n})
	}
	f.RunFor(time.Second)
	require.Equal(t, 9, f.quarantinedOn(soundRequest))
}

// A host that had a complete response protects equal requests on all hosts: upstreams crash for other reasons.
func TestCompleteResponseProtectsEqualRequests(t *testing.T) {
	for seed := range uint64(5) {
		f := newCallFleet(harness.Config{Seed: seed, Hosts: 9, MaxDelay: 5 * time.Millisecond})
		for n := range 60 {
			if n%10 == 0 {
				f.Post(f.Hosts[0], core.RequestCompleted{Fingerprint: soundRequest})
			}
			f.crash(f.Hosts[1+n%8], soundRequest)
			f.RunFor(2 * time.Second)
			require.Zero(t, f.quarantinedOn(soundRequest), "seed %d, crash %d", seed, n)
		}
	}
}

// A request that was quarantined in error is released on all hosts by the first complete response.
func TestCompleteResponseReleasesTheRequest(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 9, MaxDelay: 5 * time.Millisecond})
	for range 3 {
		f.crash(f.Hosts[2], soundRequest)
	}
	f.RunFor(time.Second)
	require.Equal(t, 9, f.quarantinedOn(soundRequest))
	f.Post(f.Hosts[5], core.RequestCompleted{Fingerprint: soundRequest})
	f.RunFor(contactTime)
	require.Zero(t, f.quarantinedOn(soundRequest))
}

// All entry hosts restart at once, before and after the third crash. The replicas must tell them what they knew: otherwise
// each such restart allows three more crashes.
func TestRestartOfAllEntryHostsKeepsTheRequestQuarantine(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 12, Disks: 3, MaxDelay: 5 * time.Millisecond})
	replicas, entryHosts := f.Hosts[:3], f.Hosts[3:]
	restart := func() {
		for _, h := range entryHosts {
			f.Crash(h)
		}
		f.PostMembers(entryHosts...)
		f.RunFor(time.Second)
		for _, h := range entryHosts {
			f.Boot(h)
		}
		f.PostMembers()
		f.RunFor(20 * time.Millisecond)
	}
	for n := range 2 {
		f.crash(entryHosts[n], deadlyRequest)
		f.RunFor(time.Second)
	}
	restart()
	require.Zero(t, f.quarantinedOn(deadlyRequest))
	f.crash(entryHosts[5], deadlyRequest)
	f.RunFor(time.Second)
	require.Equal(t, len(entryHosts)+len(replicas), f.quarantinedOn(deadlyRequest))
	restart()
	require.Equal(t, len(entryHosts)+len(replicas), f.quarantinedOn(deadlyRequest))
}

// All hosts, replicas too, end at once and start again with what their disks hold: a request and a part of a prompt in quarantine, and a
// request that is one crash away from it. Otherwise each such moment allows three more crashes.
func TestRestartOfAllHostsKeepsTheQuarantines(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 12, Disks: 3, MaxDelay: 5 * time.Millisecond, SyncTime: 5 * time.Millisecond})
	entryHosts := f.Hosts[3:]
	const nextRequest = deadlyRequest + 100
	for n := range 3 {
		f.crash(entryHosts[n], deadlyRequest)
		if n < 2 {
			f.crash(entryHosts[n], nextRequest)
		}
		f.RunFor(time.Second)
	}
	for range 2 {
		for _, h := range f.Hosts {
			f.Crash(h)
		}
		f.RunFor(time.Second)
		for _, h := range f.Hosts {
			f.Boot(h)
		}
		f.PostMembers()
		f.RunFor(time.Second)
		require.Equal(t, 12, f.quarantinedOn(deadlyRequest))
		require.Zero(t, f.quarantinedOn(nextRequest))
	}
	f.crash(entryHosts[4], nextRequest)
	f.RunFor(time.Second)
	require.Equal(t, 12, f.quarantinedOn(nextRequest))
}

// A quarantine ends, so that a request that is sound again is served. Each crash after that doubles the next quarantine, so that a
// request that comes for days crashes few upstreams.
func TestQuarantineOfARequestGrows(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 9, MaxDelay: 5 * time.Millisecond})
	for range 3 {
		f.crash(f.Hosts[0], deadlyRequest)
	}
	f.RunFor(time.Second)
	for f.Now.Sub(harness.StartTime) < 6*time.Hour {
		if f.quarantinedOn(deadlyRequest) == 0 {
			f.crash(f.Hosts[f.Rand.IntN(9)], deadlyRequest)
		}
		f.RunFor(10 * time.Second)
	}
	require.GreaterOrEqual(t, f.crashes, 6, "a quarantine did not end")
	require.LessOrEqual(t, f.crashes, 14)
}

// The crashes of one request are not put down to the parts of its prompt, which sound requests may share.
func TestOneRequestDoesNotMakeItsPartsSuspect(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 5 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{sharedPart}, Fingerprint: deadlyRequest})
		f.Post(f.Hosts[n], core.RequestCrashed{Upstream: f.engines[n].id, Fingerprint: deadlyRequest})
		f.RunFor(time.Second)
	}
	require.Zero(t, f.refusingHosts(sharedPart))
	f.Post(f.Hosts[5], core.StreamCrashed{Upstream: f.engines[6].id, PromptParts: []uint64{sharedPart}, Fingerprint: soundRequest})
	f.RunFor(time.Second)
	require.Equal(t, 9, f.refusingHosts(sharedPart), "two requests with the part crashed engines")
}

// Where engines close their connections when they begin a response but seem to live on, as behind a supervisor that restarts them at
// once, the request itself is not known to be deadly. The parts of its prompt then are, as before.
func TestPartsAreSuspectWhereTheRequestIsNot(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 3 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{deadlyPart}, Fingerprint: deadlyRequest})
		f.RunFor(time.Second)
	}
	require.Equal(t, 9, f.refusingHosts(deadlyPart))
}

// A request may crash upstreams under more fingerprints than are tracked. What is remembered is limited and ends.
func TestTrackedRequestsAreLimited(t *testing.T) {
	f := newCallFleet(harness.Config{Seed: 1, Hosts: 2, MaxDelay: 5 * time.Millisecond})
	for n := range uint64(6_000) {
		f.Post(f.Hosts[0], core.RequestCrashed{Fingerprint: 100 + n, Upstream: core.UpstreamID("u" + string(rune('a'+n%26))), Incarnation: n})
		f.Post(f.Hosts[0], core.RequestCompleted{Fingerprint: 1_000_000 + n})
		f.RunFor(40 * time.Millisecond)
	}
	suspects := func() (n int64) {
		f.Hosts[0].Kernel.Gauges(func(name string, value int64) {
			if name == "quarantine.suspectRequests" {
				n = value
			}
		})
		return n
	}
	require.LessOrEqual(t, suspects(), int64(4096))
	f.RunFor(6 * time.Minute)
	require.Zero(t, suspects())
}
