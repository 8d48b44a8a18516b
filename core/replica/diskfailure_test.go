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
