package quarantine_test

import (
	"fmt"
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
	// responseDelay is the time from the start of a stream at an engine to its first event, responseTime to its end, and
	// crashTime how long an engine is down.
	responseDelay = 100 * time.Millisecond
	responseTime  = 500 * time.Millisecond
	crashTime     = 3 * time.Second
)

// engine is a model engine with the streams that it runs.
type engine struct {
	id      core.UpstreamID
	up      bool
	streams []*stream
}

// stream is a response in progress.
type stream struct {
	host      *harness.Host
	parts     []uint64
	startedAt time.Time
	ended     bool
}

// fleet consists of entry hosts with the gossip and quarantine plug-ins and of engines, which prompts with a deadly part crash.
type fleet struct {
	*harness.Run
	t           *testing.T
	engines     []*engine
	deadly      map[uint64]bool
	quarantined map[core.HostID][][]uint64
	// crashTimes has the time of each crash, deadlySent that of each request with a deadly part that reached an engine.
	crashTimes []time.Time
	deadlySent []time.Time
	refused    map[uint64]int
	messages   int
}

func newFleet(t *testing.T, seed uint64, hosts, engines int, deadly ...uint64) *fleet {
	return newFleetOf(t, harness.Config{Seed: seed, Hosts: hosts, MaxDelay: 5 * time.Millisecond}, engines, deadly...)
}

// newFleetOf returns a fleet with the seed, hosts, data directories and delays of a configuration.
func newFleetOf(t *testing.T, c harness.Config, engines int, deadly ...uint64) *fleet {
	f := &fleet{t: t, deadly: map[uint64]bool{}, quarantined: map[core.HostID][][]uint64{}, refused: map[uint64]int{}}
	for _, p := range deadly {
		f.deadly[p] = true
	}
	watch := core.Plugin{Name: "watch", Rank: 90, New: func(env core.Env) core.Component {
		f.quarantined[env.Self] = nil
		return core.Component{Handle: func(_ *core.Turn, ev core.Event) {
			if e, ok := ev.(core.QuarantineChanged); ok {
				f.quarantined[env.Self] = e.PromptParts
			}
		}}
	}}
	c.MinDelay, c.LossRate, c.DuplicateRate = time.Millisecond, 0.02, 0.02
	c.Plugins = []core.Plugin{gossip.Plugin(), quarantine.Plugin(), watch}
	f.Run = harness.New(c)
	f.OnSend = func(*harness.Host, core.SendMessage) { f.messages++ }
	for n := range engines {
		f.engines = append(f.engines, &engine{id: core.UpstreamID(fmt.Sprint("e", n)), up: true})
	}
	f.PostMembers()
	return f
}

func (f *fleet) randomHost() *harness.Host { return f.Hosts[f.Rand.IntN(len(f.Hosts))] }

// submit sends a request with these prompt parts through a host to a random engine, unless the host refuses it.
func (f *fleet) submit(h *harness.Host, parts ...uint64) *stream {
	if f.refuses(h, parts...) {
		f.refused[parts[len(parts)-1]]++
		return nil
	}
	deadly := slices.ContainsFunc(parts, func(p uint64) bool { return f.deadly[p] })
	var up []*engine
	for _, e := range f.engines {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	e := up[f.Rand.IntN(len(up))]
	s := &stream{host: h, parts: parts, startedAt: f.Now}
	e.streams = append(e.streams, s)
	if deadly {
		f.deadlySent = append(f.deadlySent, f.Now)
		f.After(responseDelay, func() {
			if !s.ended {
				f.crash(e)
			}
		})
	}
	f.After(responseTime, func() {
		if !s.ended {
			s.ended = true
			f.Post(h, core.StreamCompleted{PromptParts: parts})
		}
	})
	return s
}

// crash ends all streams of an engine; those that have not produced an event are reported as crashed at their start.
func (f *fleet) crash(e *engine) {
	e.up = false
	f.crashTimes = append(f.crashTimes, f.Now)
	for _, s := range e.streams {
		if !s.ended && f.Now.Sub(s.startedAt) <= responseDelay {
			f.Post(s.host, core.StreamCrashed{Upstream: e.id, PromptParts: s.parts})
		}
		s.ended = true
	}
	e.streams = nil
	f.After(crashTime, func() { e.up = true })
}

// refuses reports whether a host refuses requests with these prompt parts.
func (f *fleet) refuses(h *harness.Host, parts ...uint64) bool {
	for _, set := range f.quarantined[h.ID] {
		if !slices.ContainsFunc(set, func(p uint64) bool { return !slices.Contains(parts, p) }) {
			return true
		}
	}
	return false
}

// refusingHosts returns how many hosts refuse requests with these prompt parts.
func (f *fleet) refusingHosts(parts ...uint64) (hosts int) {
	for _, h := range f.Hosts {
		if f.refuses(h, parts...) {
			hosts++
		}
	}
	return hosts
}

// The rule of the users' platform: after the fifth crash and this time, at most three more requests reach engines.
const (
	allowedCrashes = 5
	contactTime    = 3 * time.Second
	allowedLate    = 3
)

// lateRequests returns how many requests with a deadly part reached engines later than the rule allows.
func (f *fleet) lateRequests() int {
	if len(f.crashTimes) < allowedCrashes {
		return 0
	}
	late := 0
	for _, at := range f.deadlySent {
		if at.After(f.crashTimes[allowedCrashes-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

const (
	sharedPart = uint64(1)
	deadlyPart = uint64(2)
	stylePart  = uint64(100)
)

// Requests that crash engines come at any host. They must be stopped on all of them, wherever in the prompt the part is and
// although the fleet has just started, and at most one in a hundred sound requests with the other parts may be refused.
func TestDeadlyPartIsStoppedEverywhere(t *testing.T) {
	prompts := map[string][]uint64{
		"middle part": {sharedPart, deadlyPart}, "first part": {deadlyPart, sharedPart}, "only part": {deadlyPart},
	}
	for name, prompt := range prompts {
		for _, hosts := range []int{3, 9, 80, 191} {
			for _, seed := range []uint64{0, 1, 2, 3, 48} {
				f := newFleet(t, seed, hosts, 12, deadlyPart)
				for n := range 1500 {
					if n%8 == 0 {
						f.submit(f.randomHost(), prompt...)
					} else {
						f.submit(f.randomHost(), sharedPart, stylePart+uint64(f.Rand.IntN(20)))
					}
					f.RunFor(20 * time.Millisecond)
				}
				require.LessOrEqual(t, f.lateRequests(), allowedLate, "%s, %d hosts, seed %d", name, hosts, seed)
				require.Equal(t, hosts, f.refusingHosts(prompt...), "%s, %d hosts, seed %d", name, hosts, seed)
				soundRefused := 0
				for part, n := range f.refused {
					if !slices.Contains(prompt, part) {
						soundRefused += n
					}
				}
				require.LessOrEqual(t, soundRefused, 1500/100, "%s, %d hosts, seed %d: sound requests were refused", name, hosts, seed)
			}
		}
	}
}

// Two deadly parts at a time are both found.
func TestTwoDeadlyParts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(t, seed, 9, 12, deadlyPart, deadlyPart+1)
		for n := range 1500 {
			switch n % 16 {
			case 0:
				f.submit(f.randomHost(), sharedPart, deadlyPart)
			case 8:
				f.submit(f.randomHost(), sharedPart, deadlyPart+1)
			default:
				f.submit(f.randomHost(), sharedPart, stylePart+uint64(f.Rand.IntN(20)))
			}
			f.RunFor(20 * time.Millisecond)
		}
		require.Equal(t, 9, f.refusingHosts(deadlyPart), "seed %d", seed)
		require.Equal(t, 9, f.refusingHosts(deadlyPart+1), "seed %d", seed)
		require.LessOrEqual(t, len(f.crashTimes), 2*allowedCrashes, "seed %d", seed)
	}
}

// Engines crash again and again for another reason. No part must be taken for the cause for longer than a response takes,
// although new parts are in streams that were lost.
func TestCrashesForOtherReasonsQuarantineNothing(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, 20, 12)
		for n := range 1500 {
			if n%25 == 0 {
				if e := f.engines[f.Rand.IntN(len(f.engines))]; e.up {
					f.crash(e)
				}
			}
			f.submit(f.randomHost(), sharedPart, stylePart+uint64(n/100))
			f.RunFor(20 * time.Millisecond)
		}
		require.Empty(t, f.refused, "seed %d", seed)
	}
}

// A host that starts while a part is quarantined must know it before it crashes engines itself.
func TestStartedHostLearnsTheQuarantine(t *testing.T) {
	f := newFleet(t, 1, 9, 12, deadlyPart)
	for range 200 {
		f.submit(f.randomHost(), sharedPart, deadlyPart)
		f.RunFor(50 * time.Millisecond)
	}
	require.Equal(t, 9, f.refusingHosts(sharedPart, deadlyPart))
	require.Zero(t, f.refusingHosts(sharedPart), "only requests with both parts have crashed engines")
	h := f.Hosts[4]
	f.Crash(h)
	f.PostMembers(h)
	f.Boot(h)
	require.False(t, f.refuses(h, sharedPart, deadlyPart))
	f.PostMembers()
	f.RunFor(20 * time.Millisecond)
	require.True(t, f.refuses(h, sharedPart, deadlyPart))
}

// All entry hosts restart at once. The replicas, which serve no callers, must tell them what is quarantined.
func TestRestartOfAllEntryHostsKeepsTheQuarantine(t *testing.T) {
	f := newFleetOf(t, harness.Config{Seed: 1, Hosts: 12, Disks: 3, MaxDelay: 5 * time.Millisecond}, 12, deadlyPart)
	replicas, entryHosts := f.Hosts[:3], f.Hosts[3:]
	for n := range 3 {
		f.Post(entryHosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{deadlyPart}})
	}
	f.RunFor(time.Second)
	require.Equal(t, 12, f.refusingHosts(deadlyPart))
	for _, h := range entryHosts {
		f.Crash(h)
	}
	f.PostMembers(entryHosts...)
	f.RunFor(time.Second)
	for _, h := range entryHosts {
		f.Boot(h)
	}
	require.Equal(t, len(replicas), f.refusingHosts(deadlyPart))
	f.PostMembers()
	f.RunFor(20 * time.Millisecond)
	require.Equal(t, 12, f.refusingHosts(deadlyPart))
}

// A part that is in all lost streams along with another one is not refused as long as that one explains more crashes.
func TestCrashesArePutDownToTheMostSuspectPart(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 4 {
		parts := []uint64{deadlyPart}
		if n > 0 {
			parts = append(parts, stylePart)
		}
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: parts})
		f.RunFor(10 * time.Millisecond)
	}
	f.RunFor(time.Second)
	require.Equal(t, 9, f.refusingHosts(deadlyPart))
	require.Zero(t, f.refusingHosts(stylePart))
}

// A part that was quarantined in error is released on all hosts by the first complete response.
func TestCompleteResponseReleasesThePart(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 3 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{stylePart}})
	}
	f.RunFor(time.Second)
	require.Equal(t, 9, f.refusingHosts(stylePart))
	f.Post(f.Hosts[5], core.StreamCompleted{PromptParts: []uint64{stylePart}})
	f.RunFor(time.Second)
	require.Zero(t, f.refusingHosts(stylePart))
}

// A quarantine ends after a time, and one more crash begins it again.
func TestQuarantineEndsAndBeginsAgain(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 3 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{deadlyPart}})
	}
	f.RunFor(time.Minute)
	require.Equal(t, 9, f.refusingHosts(deadlyPart))
	f.RunFor(195 * time.Second)
	require.Zero(t, f.refusingHosts(deadlyPart))
	f.Post(f.Hosts[0], core.StreamCrashed{Upstream: f.engines[4].id, PromptParts: []uint64{deadlyPart}})
	f.RunFor(time.Second)
	require.Equal(t, 9, f.refusingHosts(deadlyPart))
}

// All streams of an engine and the repeated resets of one engine are the evidence of one crash.
func TestOneCrashIsCountedOnce(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	for n := range 9 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: "e1", PromptParts: []uint64{stylePart}})
	}
	f.RunFor(time.Second)
	require.Zero(t, f.refusingHosts(stylePart))
	for range 5 {
		f.Post(f.Hosts[3], core.StreamCrashed{Upstream: "e1", PromptParts: []uint64{stylePart}})
		f.RunFor(3 * time.Second)
	}
	require.Zero(t, f.refusingHosts(stylePart), "one engine alone may be at fault")
}

// What hosts have heard of a part must not keep it from being found: a host had a complete response with it, told the others, and
// from then on it crashes engines.
func TestHearsayDoesNotProtectAPart(t *testing.T) {
	f := newFleet(t, 1, 9, 12)
	f.Post(f.Hosts[0], core.StreamCompleted{PromptParts: []uint64{deadlyPart}})
	for n := range 60 {
		f.Post(f.Hosts[1+n%8], core.StreamCrashed{Upstream: f.engines[n%12].id, PromptParts: []uint64{deadlyPart}})
		f.RunFor(4 * time.Second)
		if f.refusingHosts(deadlyPart) == 9 {
			break
		}
	}
	require.Equal(t, 9, f.refusingHosts(deadlyPart))
	require.Less(t, f.Now.Sub(harness.StartTime), 90*time.Second, "the response counts for a minute")
}

// Hosts that tell each other of their quarantines must not keep them up, although messages take up to a second.
func TestQuarantineIsNotKeptUpByHosts(t *testing.T) {
	f := newFleetOf(t, harness.Config{Seed: 1, Hosts: 30, MaxDelay: time.Second}, 12)
	for n := range 3 {
		f.Post(f.Hosts[n], core.StreamCrashed{Upstream: f.engines[n].id, PromptParts: []uint64{deadlyPart}})
	}
	f.RunFor(4*time.Minute + 30*time.Second)
	require.Zero(t, f.refusingHosts(deadlyPart))
}
