package replica

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// rewriteInterval is the time between two attempts to write the log again after a failed write.
const rewriteInterval = time.Second

// stop disables this replica after a failed write: it must not acknowledge anything that may not be durable.
func (c *component) stop(t *core.Turn, reason string) {
	t.LogDecision(core.Decision{Component: "replica", Choice: "diskFailed", Reason: reason, Target: string(c.self)})
	c.role = roleStopped
	c.clearLeaderState()
	c.deferred, c.pendingWrites = nil, nil
	c.rewriteAt, c.rewriteSeq = t.Now.Add(rewriteInterval), 0
	c.setLeader(t, "")
}

// handleStopped handles the events of a replica whose disk has failed. A full or faulty disk may recover, and a replica
// that stayed away would leave the replica set one failure closer to the loss of its majority.
func (c *component) handleStopped(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Tick:
		if core.Due(c.rewriteAt, t.Now) {
			c.rewrite(t)
		}
	case core.DiskFailed:
		c.rewriteAt, c.rewriteSeq = t.Now.Add(rewriteInterval), 0
	case core.Persisted:
		if c.rewriteSeq != 0 && e.Seq >= c.rewriteSeq {
			c.resume(t, e.Seq)
		}
	case core.MembersChanged:
		c.members = e.Members
	case core.Propose:
		rejectProposals(t, e)
	}
}

// rewrite writes the whole log under new files, which does not depend on what the failed write has left on the disk.
// Entries and votes that were not durable yet may be in it, since nobody has been told of them.
func (c *component) rewrite(t *core.Turn) {
	c.persistSeq++
	c.rewriteAt, c.rewriteSeq = time.Time{}, c.persistSeq
	t.Emit(core.Persist{
		Seq: c.persistSeq, Hard: c.hardState, Entries: slices.Clone(c.log.entries), Snapshot: c.log.snapshot, Complete: true,
	})
}

// resume makes this replica a follower again after the whole log has become durable.
func (c *component) resume(t *core.Turn, seq uint64) {
	t.LogDecision(core.Decision{
		Component: "replica", Choice: "diskRecovered", Reason: "the log was written again", Target: string(c.self),
	})
	c.role = roleFollower
	c.rewriteSeq = 0
	c.durableIndex = c.log.lastIndex()
	c.resetElectionDeadline(t)
	c.handlePersisted(t, seq)
}
