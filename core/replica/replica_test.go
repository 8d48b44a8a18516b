package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/config"
	"oleanderlever/core/harness"
	"oleanderlever/core/lease"
	"oleanderlever/core/member"
	"oleanderlever/core/replica"
)

// cluster is a simulated run that records the entries committed and the leaders elected on all replicas.
type cluster struct {
	*harness.Run
	t        *testing.T
	operator *harness.Operator
	// committed is the entry that a replica first applied at each index.
	committed  map[core.LogIndex]string
	leaders    map[core.Epoch]core.HostID
	violations []string
	// onReplicaSet, if set, is called when a replica first applies a change of the replica set.
	onReplicaSet func()
}

// watchPlugin returns a plug-in that records the committed entries and leader changes of one host.
func watchPlugin(c *cluster) core.Plugin {
	return core.Plugin{Name: "watch", Rank: 1, New: func(env core.Env) core.Component {
		return core.Component{Handle: func(_ *core.Turn, ev core.Event) {
			switch e := ev.(type) {
			case core.Committed:
				c.recordCommitted(env.Self, e.Entry)
			case core.LeaderChanged:
				c.recordLeader(e)
			}
		}}
	}}
}

func (c *cluster) recordCommitted(h core.HostID, e core.Entry) {
	text := fmt.Sprintf("%d/%d/%s/%v", e.Epoch, e.Kind, e.Command.ID, e.Replicas.Members)
	if first, ok := c.committed[e.Index]; ok && first != text {
		c.violations = append(c.violations,
			fmt.Sprintf("%s applied %s at %d, another replica applied %s", h, text, e.Index, first))
		return
	}
	if _, ok := c.committed[e.Index]; !ok && e.Kind == core.EntryReplicaSet && c.onReplicaSet != nil {
		c.onReplicaSet()
	}
	c.committed[e.Index] = text
}

func (c *cluster) recordLeader(e core.LeaderChanged) {
	if !e.Self {
		return
	}
	if first, ok := c.leaders[e.Epoch]; ok && first != e.Leader {
		c.violations = append(c.violations, fmt.Sprintf("term %d has leaders %s and %s", e.Epoch, first, e.Leader))
	}
	c.leaders[e.Epoch] = e.Leader
}

func newCluster(t *testing.T, runConfig harness.Config, unsafeOptions replica.UnsafeOptions) *cluster {
	c := &cluster{t: t, committed: map[core.LogIndex]string{}, leaders: map[core.Epoch]core.HostID{}}
	runConfig.Plugins = []core.Plugin{
		replica.Plugin(unsafeOptions), config.Plugin(), lease.Plugin(), member.Plugin(), watchPlugin(c),
	}
	c.Run = harness.New(runConfig)
	c.operator = harness.NewOperator(c.Run)
	c.OnAction = func(_ *harness.Host, a core.Action) { c.operator.Observe(a) }
	return c
}

func reliableNetwork(seed uint64, hosts, replicas int) harness.Config {
	return harness.Config{
		Seed: seed, Hosts: hosts, Replicas: replicas,
		MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond, SyncTime: time.Millisecond,
	}
}

func lossyNetwork(seed uint64, hosts, replicas int) harness.Config {
	c := reliableNetwork(seed, hosts, replicas)
	c.LossRate, c.DuplicateRate, c.MaxDelay = 0.05, 0.05, 40*time.Millisecond
	return c
}

func putAccount(n int) core.Change {
	return core.Change{Kind: core.ChangePutAccount, Account: core.Account{
		ID: core.AccountID(fmt.Sprintf("account-%d", n)), Weight: 1, Rate: 100, Burst: 100,
	}}
}

// status repeats a status request through a host until the leader responds, and fails the test after 30 s.
func (c *cluster) status(h *harness.Host) core.Status {
	s, ok := c.tryStatus(h)
	require.True(c.t, ok, "no leader responds")
	return s
}

// tryStatus is like status, but returns false instead of failing the test.
func (c *cluster) tryStatus(h *harness.Host) (out core.Status, ok bool) {
	var correlationID uint64
	ok = c.RunUntil(30*time.Second, func() bool {
		if a, ok := c.operator.Status[correlationID]; ok && a.Failure == nil {
			out = a.Status
			return true
		} else if correlationID == 0 || ok {
			correlationID = c.operator.RequestStatus(h)
		}
		return false
	})
	return out, ok
}

// hasVersion reports whether the leader has configuration version v or a later one. It returns false if there is no
// leader although all hosts are up.
func (c *cluster) hasVersion(v core.ConfigVersion) bool {
	s, ok := c.tryStatus(c.Hosts[3])
	return ok && s.Version >= v
}

// applyChange repeats a change through a host until it is accepted, and returns the new configuration version.
func (c *cluster) applyChange(h *harness.Host, ch core.Change) core.ConfigVersion {
	for range 50 {
		correlationID := c.operator.Send(h, core.Command{ExpectedVersion: c.status(h).Version, Change: ch})
		require.True(c.t, c.RunUntil(20*time.Second, func() bool { _, ok := c.operator.Results[correlationID]; return ok }))
		if r := c.operator.Results[correlationID]; r.Failure == nil {
			return r.Version
		}
	}
	require.Fail(c.t, "the change was not accepted in 50 attempts")
	return 0
}

func (c *cluster) leader() *harness.Host {
	id := c.status(c.anyUp()).Leader
	for _, h := range c.Hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

func (c *cluster) anyUp() *harness.Host {
	for _, h := range c.Hosts {
		if h.Up {
			return h
		}
	}
	return nil
}

func TestReplicasCommitUnderOneLeader(t *testing.T) {
	for _, replicas := range []int{1, 3, 5} {
		c := newCluster(t, reliableNetwork(1, replicas+1, replicas), replica.UnsafeOptions{})
		require.Equal(t, core.ConfigVersion(1), c.applyChange(c.Hosts[replicas], putAccount(1)))
		require.Equal(t, core.ConfigVersion(2), c.applyChange(c.Hosts[0], putAccount(2)))
		require.Empty(t, c.violations)
	}
}

// The leader crashes repeatedly while commands are in flight. The configuration version must never decrease.
func TestRepeatedLeaderCrashes(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, lossyNetwork(seed, 4, 3), replica.UnsafeOptions{})
		version := c.applyChange(c.Hosts[3], putAccount(0))
		for n := 1; n < 4; n++ {
			crashed := c.leader()
			c.operator.Send(c.Hosts[3], core.Command{ExpectedVersion: version, Change: putAccount(n)})
			c.RunFor(time.Duration(c.Rand.IntN(20)) * time.Millisecond)
			c.Crash(crashed)
			c.RunFor(3 * time.Second)
			c.Boot(crashed)
			after := c.applyChange(c.Hosts[3], putAccount(100+n))
			require.Greater(t, after, version, "seed %d: the configuration version did not increase", seed)
			version = after
		}
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

// A leader that is partitioned from all other hosts must not commit: a command sent to it ends with an unknown outcome,
// and its version is up to date again after the partition has healed.
func TestPartitionedLeader(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, lossyNetwork(seed, 5, 3), replica.UnsafeOptions{})
		version := c.applyChange(c.Hosts[3], putAccount(0))
		old := c.leader()
		c.Partitioned = func(from, to core.HostID) bool { return from == old.ID || to == old.ID }
		correlationID := c.operator.Send(old, core.Command{ID: "lost", ExpectedVersion: version, Change: putAccount(1)})
		after := c.applyChange(c.Hosts[3], putAccount(2))
		require.Equal(t, version+1, after, "seed %d", seed)
		c.RunFor(15 * time.Second)
		r, ok := c.operator.Results[correlationID]
		require.True(t, ok)
		require.Equal(t, core.KindOutcomeUnknown, r.Failure.Kind, "seed %d", seed)
		c.Partitioned = nil
		c.RunFor(5 * time.Second)
		require.Equal(t, after, c.status(old).Version, "seed %d", seed)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

// loseDiskAndCrash loses the disk of one of the two replicas that store an accepted change, crashes the other one and
// restarts the first. It returns the accepted version and whether the next leader has it.
func loseDiskAndCrash(t *testing.T, seed uint64, unsafeOptions replica.UnsafeOptions) (*cluster, core.ConfigVersion, bool) {
	c := newCluster(t, lossyNetwork(seed, 4, 3), unsafeOptions)
	c.applyChange(c.Hosts[3], putAccount(0))
	partitioned := c.Hosts[c.Rand.IntN(3)]
	for partitioned == c.leader() {
		partitioned = c.Hosts[c.Rand.IntN(3)]
	}
	c.Partitioned = func(from, to core.HostID) bool { return from == partitioned.ID || to == partitioned.ID }
	accepted := c.applyChange(c.Hosts[3], putAccount(1))
	// Two replicas store the change. One loses its disk, and the other is down when the first restarts.
	var holders []*harness.Host
	for _, h := range c.Hosts[:3] {
		if h != partitioned {
			holders = append(holders, h)
		}
	}
	c.LoseDisk(holders[0])
	c.Crash(holders[1])
	c.Partitioned = nil
	c.Boot(holders[0])
	c.RunFor(20 * time.Second)
	correlationID := c.operator.RequestStatus(c.Hosts[3])
	c.RunFor(10 * time.Second)
	a, ok := c.operator.Status[correlationID]
	if ok && a.Failure == nil {
		return c, accepted, a.Status.Version >= accepted
	}
	// There must be no leader now: only the crashed host stores the change. It is available again after the restart.
	c.Boot(holders[1])
	c.RunFor(10 * time.Second)
	return c, accepted, c.hasVersion(accepted)
}

func TestChangeSurvivesDiskLossAndCrash(t *testing.T) {
	for seed := range uint64(20) {
		c, accepted, kept := loseDiskAndCrash(t, seed, replica.UnsafeOptions{})
		require.True(t, kept, "seed %d: version %d was lost", seed, accepted)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

func TestVoteWithoutMembershipLosesChange(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		if c, _, kept := loseDiskAndCrash(t, seed, replica.UnsafeOptions{VoteWithoutMembership: true}); !kept || len(c.violations) > 0 {
			t.Logf("seed %d detects the violation: kept %t, %v", seed, kept, c.violations)
			detected++
		}
	}
	require.Positive(t, detected, "no seed detects a replica that votes with an empty data directory")
}

func TestLostDiskIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, lossyNetwork(seed, 4, 3), replica.UnsafeOptions{})
		c.applyChange(c.Hosts[3], putAccount(0))
		failed := c.Hosts[c.Rand.IntN(3)]
		c.LoseDisk(failed)
		c.RunFor(time.Duration(c.Rand.IntN(5000)) * time.Millisecond)
		c.Boot(failed)
		repaired := func() bool {
			for _, r := range c.status(c.Hosts[3]).Replicas {
				if r.Host == failed.ID && r.Disk == failed.Disk && r.Voter {
					return true
				}
			}
			return false
		}
		require.True(t, c.RunUntil(30*time.Second, repaired), "seed %d", seed)
		require.Len(t, c.status(c.Hosts[3]).Replicas, 3, "seed %d", seed)
		// The new voter counts towards the quorum: changes still commit after another replica has crashed.
		for _, h := range c.Hosts[:3] {
			if h != failed {
				c.Crash(h)
				break
			}
		}
		require.Greater(t, c.applyChange(c.Hosts[3], putAccount(1)), core.ConfigVersion(1), "seed %d", seed)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

// crashAllReplicas crashes every replica as soon as a change is accepted and reports whether the change survived. Syncs
// are so slow that a replica that acknowledges the change before its sync loses it.
func crashAllReplicas(t *testing.T, seed uint64, unsafeOptions replica.UnsafeOptions) bool {
	runConfig := reliableNetwork(seed, 4, 3)
	runConfig.SyncTime = 30 * time.Millisecond
	c := newCluster(t, runConfig, unsafeOptions)
	c.applyChange(c.Hosts[3], putAccount(0))
	correlationID := c.operator.Send(c.Hosts[3], core.Command{
		ExpectedVersion: c.status(c.Hosts[3]).Version, Change: putAccount(1),
	})
	require.True(t, c.RunUntil(20*time.Second, func() bool { _, ok := c.operator.Results[correlationID]; return ok }))
	accepted := c.operator.Results[correlationID].Version
	for _, h := range c.Hosts[:3] {
		c.Crash(h)
	}
	c.RunFor(time.Second)
	for _, h := range c.Hosts[:3] {
		c.Boot(h)
	}
	c.RunFor(5 * time.Second)
	return c.hasVersion(accepted)
}

func TestAcceptedChangeSurvivesCrashOfAllReplicas(t *testing.T) {
	for seed := range uint64(20) {
		require.True(t, crashAllReplicas(t, seed, replica.UnsafeOptions{}), "seed %d", seed)
	}
}

func TestAckBeforeSyncLosesChange(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		if !crashAllReplicas(t, seed, replica.UnsafeOptions{AckBeforeSync: true}) {
			t.Logf("seed %d detects the violation", seed)
			detected++
		}
	}
	require.Positive(t, detected, "no seed detects an acknowledgement before the sync")
}

// A replica that was down for thousands of changes receives a snapshot when it restarts, and its vote counts towards a
// quorum afterwards.
func TestLaggingReplicaReceivesSnapshot(t *testing.T) {
	c := newCluster(t, reliableNetwork(7, 4, 3), replica.UnsafeOptions{})
	version := c.applyChange(c.Hosts[3], putAccount(0))
	lagging := c.Hosts[0]
	if c.leader() == lagging {
		lagging = c.Hosts[1]
	}
	c.Crash(lagging)
	const changes = 5000
	for n := range changes {
		c.operator.Send(c.leader(), core.Command{ExpectedVersion: version + core.ConfigVersion(n), Change: putAccount(n % 50)})
		c.RunFor(5 * time.Millisecond)
	}
	c.RunFor(2 * time.Second)
	require.Equal(t, version+changes, c.status(c.Hosts[3]).Version)
	c.Boot(lagging)
	c.RunFor(5 * time.Second)
	require.NotNil(t, lagging.Stored.Snapshot, "a log of %d entries was not compacted", changes)
	for _, h := range c.Hosts[:3] {
		if h != lagging && h != c.leader() {
			c.Crash(h)
		}
	}
	require.Equal(t, version+changes+1, c.applyChange(c.Hosts[3], putAccount(1)),
		"the lagging replica does not count towards the quorum")
	require.Empty(t, c.violations)
}

func TestFailedDiskStopsReplica(t *testing.T) {
	c := newCluster(t, reliableNetwork(3, 4, 3), replica.UnsafeOptions{})
	c.applyChange(c.Hosts[3], putAccount(0))
	old := c.leader()
	c.Post(old, core.DiskFailed{Reason: "test"})
	require.Equal(t, core.ConfigVersion(2), c.applyChange(c.Hosts[3], putAccount(1)))
	require.NotEqual(t, old.ID, c.status(c.Hosts[3]).Leader)
	require.Empty(t, c.violations)
}

// A constant stream of leadership verifications must not keep the leader from repairing the replica set, or from
// stepping down when it is partitioned from the others.
func TestVerificationsDoNotDelayLeader(t *testing.T) {
	c := newCluster(t, reliableNetwork(5, 4, 3), replica.UnsafeOptions{})
	c.applyChange(c.Hosts[3], putAccount(0))
	leader := c.leader()
	lost := c.Hosts[0]
	if lost == leader {
		lost = c.Hosts[1]
	}
	c.LoseDisk(lost)
	c.Boot(lost)
	repaired := false
	for n := 0; n < 1000 && !repaired; n++ {
		correlationID := c.operator.RequestStatus(c.Hosts[3])
		c.RunFor(20 * time.Millisecond)
		for _, r := range c.operator.Status[correlationID].Status.Replicas {
			repaired = repaired || (r.Disk == lost.Disk && r.Voter)
		}
	}
	require.True(t, repaired)
	c.Partitioned = func(from, to core.HostID) bool { return from == leader.ID || to == leader.ID }
	for range 200 {
		c.operator.RequestStatus(leader)
		c.RunFor(20 * time.Millisecond)
	}
	require.NotEqual(t, leader.ID, c.status(c.Hosts[3]).Leader)
	steppedDown := false
	leader.Kernel.Gauges(func(name string, value int64) {
		if name == "replica.leads" {
			steppedDown = value == 0
		}
	})
	require.True(t, steppedDown)
}

// A leader that drains transfers its leadership, so that the other replicas need no further election.
func TestDrainingLeaderTransfersLeadership(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, reliableNetwork(seed, 4, 3), replica.UnsafeOptions{})
		c.applyChange(c.Hosts[3], putAccount(0))
		c.RunFor(time.Second)
		old := c.leader()
		c.Post(old, core.Draining{})
		c.RunFor(50 * time.Millisecond)
		next := c.leader()
		require.NotEqual(t, old.ID, next.ID, "seed %d", seed)
		c.Crash(old)
		c.applyChange(c.Hosts[3], putAccount(1))
		require.Len(t, c.leaders, 2, "seed %d: there was another election", seed)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}
