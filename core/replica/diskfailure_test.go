package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
	"oleanderlever/core/replica"
)

// fillDisk makes a host's writes fail for d while changes are made through another host, and reports whether the replicas
// accepted them.
func (c *cluster) fillDisk(h, through *harness.Host, d time.Duration) {
	h.DiskFull = true
	for end := c.Now.Add(d); c.Now.Before(end); c.RunFor(200 * time.Millisecond) {
		c.applyChange(through, putAccount(int(c.Now.Unix())))
	}
	h.DiskFull = false
	c.RunFor(5 * time.Second)
}

// Disks are full for seconds, one after the other, and have room again long before the next one. The replica set must then
// tolerate the loss of a data directory as if no disk had ever been full.
func TestReplicasReturnAfterTheirDisksWereFull(t *testing.T) {
	for seed := range uint64(10) {
		c := newJoinCluster(t, seed, 5, 3)
		entryHost := c.Hosts[5]
		c.applyChange(entryHost, putAccount(0))
		for i := range 4 {
			c.fillDisk(c.Hosts[i], entryHost, 4*time.Second)
		}
		version := c.status(entryHost).Version
		lost := c.leader()
		c.LoseDisk(lost)
		c.RunFor(time.Second)
		c.Boot(lost)
		s, ok := c.tryStatus(entryHost)
		require.True(t, ok, "seed %d: no leader responds after the loss of one data directory", seed)
		require.GreaterOrEqual(t, s.Version, version, "seed %d", seed)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

// Guards against replicas that stay away, or a replica set that stays without a leader, after all disks were full for a few
// seconds, one directly after the other: changes were then refused or not answered although all processes ran. The documents are
// large enough for snapshots while a disk is full.
func TestChangesAreAcknowledgedAfterAllDisksWereFull(t *testing.T) {
	const maxAckTime = 2 * time.Second
	for seed := range uint64(30) {
		disks := 3 + int(seed%3)
		targetVoters := []int{3, disks}[seed%2]
		c := newJoinCluster(t, seed, disks, targetVoters)
		c.RunFor(4 * time.Second)
		for _, i := range c.Rand.Perm(disks) {
			full := c.Hosts[i]
			full.DiskFull = true
			for end := c.Now.Add(time.Duration(1+c.Rand.IntN(6)) * time.Second); c.Now.Before(end); {
				c.putDocument(c.Hosts[c.Rand.IntN(len(c.Hosts))])
				c.RunFor(time.Duration(50+c.Rand.IntN(400)) * time.Millisecond)
			}
			full.DiskFull = false
		}
		c.RunFor(4 * time.Second)
		for _, h := range c.Hosts {
			id := c.putDocument(h)
			acknowledged := c.RunUntil(maxAckTime, func() bool { _, ok := c.operator.Results[id]; return ok })
			require.True(t, acknowledged, "seed %d: a change through %s is not answered", seed, h.ID)
			require.Nil(t, c.operator.Results[id].Failure, "seed %d: a change through %s", seed, h.ID)
		}
		require.Empty(t, c.violations, "seed %d", seed)
	}
}

// putDocument sends a large document with a revision above all earlier ones through a host.
func (c *cluster) putDocument(h *harness.Host) uint64 {
	d := &core.Document{
		Revision: core.Revision(c.Now.UnixNano()), Source: make([]byte, 512<<10), Pools: []core.Pool{{ID: "p"}},
		Routes: []core.Route{{Name: "r", Host: "h", Path: "/", Pool: "p", Timeout: time.Second}},
	}
	return c.operator.Send(h, core.Command{Change: core.Change{Kind: core.ChangeReplaceConfig, Document: d}})
}

// Random full disks, crashes and restarts: acknowledged changes must survive, and the replicas must recover in the end.
func TestFullDisksAndCrashesLoseNothing(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, lossyNetwork(seed, 4, 3), replica.UnsafeOptions{})
		version := c.applyChange(c.Hosts[3], putAccount(0))
		for n := range 12 {
			h := c.Hosts[c.Rand.IntN(3)]
			switch c.Rand.IntN(3) {
			case 0:
				h.DiskFull = !h.DiskFull
			case 1:
				c.Crash(h)
			default:
				if !h.Up {
					c.Boot(h)
				}
			}
			c.operator.Send(c.Hosts[3], core.Command{ExpectedVersion: version, Change: putAccount(n)})
			c.RunFor(time.Duration(c.Rand.IntN(1500)) * time.Millisecond)
			if s, ok := c.operator.Status[c.operator.RequestStatus(c.Hosts[3])]; ok && s.Failure == nil {
				require.GreaterOrEqual(t, s.Status.Version, version, "seed %d", seed)
				version = s.Status.Version
			}
		}
		for _, h := range c.Hosts[:3] {
			h.DiskFull = false
			if !h.Up {
				c.Boot(h)
			}
		}
		require.Greater(t, c.applyChange(c.Hosts[3], putAccount(99)), version, "seed %d", seed)
		require.Empty(t, c.violations, "seed %d", seed)
	}
}
