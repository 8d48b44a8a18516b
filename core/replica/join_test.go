package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
	"oleanderlever/core/replica"
)

// newJoinCluster returns a cluster whose first three hosts form the initial replica set; hosts that start later know
// only seeds.
func newJoinCluster(t *testing.T, seed uint64, disks, target int) *joinCluster {
	j := &joinCluster{}
	c := reliableNetwork(seed, disks+2, 3)
	c.Disks = disks
	c.AdjustEnv = func(env *core.Env) {
		env.TargetVoters = target
		if j.onlySeed > 0 {
			env.Seeds = env.Seeds[j.onlySeed : j.onlySeed+1]
		}
		if env.Boot > 1 || env.Addr.Addr().As4()[3] >= byte(disks+2) {
			env.InitialReplicas = nil
		}
	}
	j.cluster = newCluster(t, c, replica.UnsafeOptions{})
	return j
}

// joinCluster is a cluster whose hosts are given only the seed with index onlySeed, if it is not zero.
type joinCluster struct {
	*cluster
	onlySeed int
}

// voterHosts returns the voters that the verified leader reports, or nil if no leader responds.
func (c *cluster) voterHosts() []core.HostID {
	var hosts []core.HostID
	for _, h := range c.Hosts {
		if !h.Up {
			continue
		}
		correlationID := c.operator.RequestStatus(h)
		c.RunFor(50 * time.Millisecond)
		if a, ok := c.operator.Status[correlationID]; ok && a.Failure == nil {
			for _, r := range a.Status.Replicas {
				if r.Voter {
					hosts = append(hosts, r.Host)
				}
			}
			return hosts
		}
	}
	return nil
}

func TestStandbysBecomeVotersUpToTarget(t *testing.T) {
	for seed := range uint64(5) {
		c := newJoinCluster(t, seed, 5, 5)
		require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 5 }), "seed %d", seed)
		require.Empty(t, c.violations)
	}
}

func TestStandbyReplacesLostVoter(t *testing.T) {
	for seed := range uint64(10) {
		c := newJoinCluster(t, seed, 3, 3)
		require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
		lostVoter := c.Hosts[seed%3]
		c.Crash(lostVoter)
		c.RunFor(time.Second)
		added := c.AddHost()
		// In the smallest deployment the next host may be lost after this time.
		c.RunFor(4 * time.Second)
		require.Contains(t, c.voterHosts(), added.ID, "seed %d", seed)
		require.NotContains(t, c.voterHosts(), lostVoter.ID, "seed %d", seed)
		c.Crash(c.Hosts[(seed+1)%3])
		require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }),
			"seed %d: no quorum after the next host was lost", seed)
		require.Empty(t, c.violations)
	}
}

func TestRestartsKeepNumberOfVoters(t *testing.T) {
	c := newJoinCluster(t, 1, 3, 3)
	require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
	for i := range 6 {
		h := c.Hosts[i%4]
		c.Crash(h)
		c.RunFor(3 * time.Second)
		c.Boot(h)
		c.RunFor(4 * time.Second)
		require.Len(t, c.voterHosts(), 3, "round %d", i)
	}
	require.Empty(t, c.violations)
}

func TestJoiningHostFindsReplicasThroughOtherHosts(t *testing.T) {
	c := newJoinCluster(t, 3, 3, 3)
	require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
	c.onlySeed = 4
	added := c.AddHost()
	c.Crash(c.Hosts[0])
	require.True(t, c.RunUntil(8*time.Second, func() bool {
		for _, h := range c.voterHosts() {
			if h == added.ID {
				return true
			}
		}
		return false
	}))
}

// After a restart of all replicas a leader is elected within 800 ms, although their first messages to each other are
// lost.
func TestElectionAfterFullRestart(t *testing.T) {
	for seed := range uint64(20) {
		c := newJoinCluster(t, seed, 3, 3)
		require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
		for _, h := range c.Hosts {
			c.Crash(h)
		}
		c.RunFor(time.Second)
		for _, h := range c.Hosts {
			c.Boot(h)
		}
		restartedAt := c.Now
		c.Partitioned = func(_, _ core.HostID) bool { return c.Now.Sub(restartedAt) < 320*time.Millisecond }
		leaders := len(c.leaders)
		require.True(t, c.RunUntil(800*time.Millisecond, func() bool { return len(c.leaders) > leaders }), "seed %d", seed)
		require.Empty(t, c.violations)
	}
}

// A voter is down, and while a standby takes its place, another voter loses its data directory and all hosts lose power. Only one
// data directory is lost, so nothing may be lost and the replicas must recover, at whatever change of the replica set this is.
func TestDataDirectoryLostWhileVoterIsReplaced(t *testing.T) {
	for nth := 1; nth <= 2; nth++ {
		for seed := range uint64(10) {
			c := newJoinCluster(t, seed, 5, 3)
			require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
			version := c.applyChange(c.Hosts[6], putAccount(1))
			leader := c.leader()
			voters := c.voterHosts()
			down := c.Hosts[slices.IndexFunc(c.Hosts, func(h *harness.Host) bool { return h != leader && slices.Contains(voters, h.ID) })]
			c.Crash(down)
			changes := 0
			c.onReplicaSet = func() {
				if changes++; changes == nth {
					c.After(0, func() { c.loseDiskAndPower(leader) })
				}
			}
			c.RunFor(5 * time.Second)
			require.GreaterOrEqual(t, changes, nth, "seed %d", seed)
			c.onReplicaSet = nil
			for _, h := range c.Hosts {
				if !h.Up {
					c.Boot(h)
				}
			}
			s, ok := c.tryStatus(c.Hosts[6])
			require.True(t, ok, "change %d, seed %d: no leader responds", nth, seed)
			require.GreaterOrEqual(t, s.Version, version, "change %d, seed %d", nth, seed)
			require.Empty(t, c.violations)
		}
	}
}

// loseDiskAndPower takes a host's data directory and the power of all hosts.
func (c *cluster) loseDiskAndPower(lost *harness.Host) {
	c.LoseDisk(lost)
	for _, h := range c.Hosts {
		c.Crash(h)
	}
}

// A deployment that tolerates no loss of hosts, only of data centres, has three replicas all the same, also after one of them was
// away.
func TestReplicaSetDoesNotShrinkBelowThree(t *testing.T) {
	c := newJoinCluster(t, 1, 4, 1)
	require.True(t, c.RunUntil(10*time.Second, func() bool { return len(c.voterHosts()) == 3 }))
	down := c.Hosts[1]
	c.Crash(down)
	c.RunFor(5 * time.Second)
	require.Len(t, c.voterHosts(), 3)
	c.Boot(down)
	c.RunFor(5 * time.Second)
	require.Len(t, c.voterHosts(), 3)
	require.Empty(t, c.violations)
}

// A host with an empty data directory catches up with many large documents. One request must not carry all of them: it would take
// a small host longer to send and to decode than the time after which the leader sends it again.
func TestAppendRequestsBoundDocuments(t *testing.T) {
	const documents, textBytes, maxRequestBytes = 40, 150 << 10, 1 << 20
	c := newJoinCluster(t, 1, 3, 3)
	c.RunFor(5 * time.Second)
	for n := range documents {
		d := &core.Document{
			Revision: core.Revision(n + 1), Source: make([]byte, textBytes), Pools: []core.Pool{{ID: "p"}},
			Routes: []core.Route{{Name: "r", Host: "h", Path: "/", Pool: "p", Timeout: time.Second}},
		}
		id := c.operator.Send(c.Hosts[0], core.Command{
			ID: core.CommandID(fmt.Sprint(n)), Change: core.Change{Kind: core.ChangeReplaceConfig, Document: d},
		})
		require.True(t, c.RunUntil(10*time.Second, func() bool { _, ok := c.operator.Results[id]; return ok }))
	}
	largest := 0
	c.OnSend = func(_ *harness.Host, m core.SendMessage) {
		if a, ok := m.Message.(core.AppendRequest); ok {
			size := 0
			for i := range a.Entries {
				if d := a.Entries[i].Command.Change.Document; d != nil {
					size += len(d.Source)
				}
			}
			largest = max(largest, size)
		}
	}
	lost := c.Hosts[1]
	c.LoseDisk(lost)
	c.Boot(lost)
	c.RunFor(20 * time.Second)
	require.Contains(t, c.voterHosts(), lost.ID)
	require.Positive(t, largest)
	require.LessOrEqual(t, largest, maxRequestBytes)
}
