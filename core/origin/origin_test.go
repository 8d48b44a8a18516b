package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
	"oleanderlever/core/origin"
)

// fleet consists of replicas, which serve no callers, and entry hosts with the origin plug-in.
type fleet struct {
	*harness.Run
	replicas, entryHosts []*harness.Host
	found                map[core.RequestID]core.OriginFound
	foundAt              map[core.RequestID]time.Time
}

func newFleet(c harness.Config) *fleet {
	f := &fleet{found: map[core.RequestID]core.OriginFound{}, foundAt: map[core.RequestID]time.Time{}}
	watch := core.Plugin{Name: "watch", Rank: 90, New: func(core.Env) core.Component {
		return core.Component{Handle: func(t *core.Turn, ev core.Event) {
			if e, ok := ev.(core.OriginFound); ok {
				f.found[e.Request], f.foundAt[e.Request] = e, t.Now
			}
		}}
	}}
	c.MinDelay, c.MaxDelay = time.Millisecond, 5*time.Millisecond
	c.Plugins = []core.Plugin{origin.Plugin(), watch}
	f.Run = harness.New(c)
	f.replicas, f.entryHosts = f.Hosts[:c.Disks], f.Hosts[c.Disks:]
	f.PostMembers()
	return f
}

// restart ends hosts and starts them again a second later.
func (f *fleet) restart(hosts ...*harness.Host) {
	for _, h := range hosts {
		f.Crash(h)
	}
	f.PostMembers(hosts...)
	f.RunFor(time.Second)
	for _, h := range hosts {
		f.Boot(h)
	}
}

func (f *fleet) begin(h *harness.Host, stream core.RequestID, version core.SoftwareVersion) {
	f.Post(h, core.StreamBegan{Stream: stream, Version: version, TTL: 2 * time.Minute})
	f.RunFor(20 * time.Millisecond)
}

// find searches for the origin of a stream on a host and returns the result and how long that took.
func (f *fleet) find(h *harness.Host, stream core.RequestID) (core.OriginFound, time.Duration) {
	request := core.RequestID(fmt.Sprint("find-", len(f.found)))
	since := f.Now
	f.Post(h, core.FindOrigin{Request: request, Stream: stream})
	f.RunFor(400 * time.Millisecond)
	return f.found[request], f.foundAt[request].Sub(since)
}

// All entry hosts end at once and start again. Callers that take their streams up then must get the version that began them, from the
// replicas, also if messages are lost and a replica restarts meanwhile.
func TestOriginIsFoundAfterAllEntryHostsRestart(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(harness.Config{Seed: seed, Hosts: 14, Disks: 5, LossRate: 0.05})
		versions := map[core.RequestID]core.SoftwareVersion{}
		for n := range 100 {
			stream := core.RequestID(fmt.Sprint("s", n))
			versions[stream] = core.SoftwareVersion(fmt.Sprint("v", n%3))
			f.begin(f.entryHosts[f.Rand.IntN(9)], stream, versions[stream])
		}
		f.restart(f.entryHosts...)
		f.PostMembers()
		f.restart(f.replicas[f.Rand.IntN(5)])
		f.PostMembers()
		known := 0
		for n := range 100 {
			stream := core.RequestID(fmt.Sprint("s", n))
			found, _ := f.find(f.entryHosts[f.Rand.IntN(9)], stream)
			if found.Known {
				known++
				require.Equal(t, versions[stream], found.Version, "seed %d", seed)
			}
		}
		require.GreaterOrEqual(t, known, 99, "seed %d", seed)
	}
}

// All hosts, replicas too, end at once and start again with what their disks hold. Streams that began a moment before must be known.
func TestOriginIsFoundAfterAllHostsRestart(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(harness.Config{Seed: seed, Hosts: 14, Disks: 5, LossRate: 0.05, SyncTime: 5 * time.Millisecond})
		for range 3 {
			for n := range 50 {
				f.begin(f.entryHosts[f.Rand.IntN(9)], core.RequestID(fmt.Sprint("s", n)), "v1")
			}
			f.RunFor(150 * time.Millisecond)
			f.restart(f.Hosts...)
			f.PostMembers()
		}
		known := 0
		for n := range 50 {
			if found, _ := f.find(f.entryHosts[f.Rand.IntN(9)], core.RequestID(fmt.Sprint("s", n))); found.Known {
				known++
			}
		}
		require.GreaterOrEqual(t, known, 49, "seed %d", seed)
	}
}

// A host that has just started and knows no other host yet must wait for them and not take the stream for an unknown one.
func TestOriginIsFoundByAHostThatHasJustStarted(t *testing.T) {
	f := newFleet(harness.Config{Seed: 1, Hosts: 5, Disks: 3})
	f.begin(f.entryHosts[0], "s", "v1")
	f.restart(f.entryHosts...)
	f.Post(f.entryHosts[1], core.FindOrigin{Request: "r", Stream: "s"})
	f.RunFor(100 * time.Millisecond)
	require.NotContains(t, f.found, core.RequestID("r"))
	f.PostMembers()
	f.RunFor(100 * time.Millisecond)
	require.True(t, f.found["r"].Known)
}

// Replicas that are cut off keep no other host from answering: the entry host that has the stream.
func TestOriginIsFoundOnPeersWithoutReplicas(t *testing.T) {
	f := newFleet(harness.Config{Seed: 1, Hosts: 12, Disks: 3})
	isReplica := func(id core.HostID) bool {
		return slices.ContainsFunc(f.replicas, func(h *harness.Host) bool { return h.ID == id })
	}
	f.Partitioned = func(from, to core.HostID) bool { return isReplica(from) || isReplica(to) }
	f.begin(f.entryHosts[0], "s", "v1")
	found, took := f.find(f.entryHosts[5], "s")
	require.True(t, found.Known)
	require.Less(t, took, 50*time.Millisecond)
}

// A request whose stream nobody knows does not wait for longer than hosts need to say so, nor for hosts that are silent.
func TestSearchForAnUnknownStreamEnds(t *testing.T) {
	f := newFleet(harness.Config{Seed: 1, Hosts: 12, Disks: 3})
	found, took := f.find(f.entryHosts[0], "unknown")
	require.False(t, found.Known)
	require.Less(t, took, 50*time.Millisecond)
	f.Crash(f.entryHosts[3])
	found, took = f.find(f.entryHosts[0], "unknown")
	require.False(t, found.Known)
	require.LessOrEqual(t, took, 300*time.Millisecond)
	single := newFleet(harness.Config{Seed: 1, Hosts: 1, Disks: 1})
	found, took = single.find(single.Hosts[0], "unknown")
	require.False(t, found.Known)
	require.Zero(t, took)
}

// A stream is forgotten at the end of its time, and the oldest are if there are too many, on replicas too.
func TestRememberedStreamsAreLimited(t *testing.T) {
	const limit = 65536
	f := newFleet(harness.Config{Seed: 1, Hosts: 2, Disks: 1})
	streams := func(h *harness.Host) (n int64) {
		h.Kernel.Gauges(func(name string, value int64) {
			if name == "origin.streams" {
				n = value
			}
		})
		return n
	}
	for n := range limit + 10 {
		f.Post(f.entryHosts[0], core.StreamBegan{Stream: core.RequestID(fmt.Sprint("s", n)), Version: "v1", TTL: time.Minute})
	}
	f.RunFor(100 * time.Millisecond)
	for _, h := range f.Hosts {
		require.EqualValues(t, limit, streams(h))
	}
	found, _ := f.find(f.entryHosts[0], core.RequestID(fmt.Sprint("s", limit)))
	require.True(t, found.Known)
	f.RunFor(2 * time.Minute)
	found, _ = f.find(f.entryHosts[0], core.RequestID(fmt.Sprint("s", limit)))
	require.False(t, found.Known)
	f.begin(f.entryHosts[0], "next", "v1")
	for _, h := range f.Hosts {
		require.EqualValues(t, 1, streams(h))
	}
}
