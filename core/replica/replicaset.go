package replica

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// bootstrap runs on the first of the initial replicas in host order. It asks the others whether they have a replica
// set and creates the initial set only if none has one. A host that loses its data directory later finds a replica
// that is bootstrapped already, so it cannot create a second set.
func (c *component) bootstrap(t *core.Turn) {
	if len(c.initialReplicas) == 0 || c.initialReplicas[0] != c.self {
		return
	}
	c.bootstrapDisks = map[core.HostID]core.DiskID{c.self: c.disk}
	for _, h := range c.initialReplicas[1:] {
		t.Send(h, core.BootstrapRequest{Disk: c.disk})
	}
	c.tryBootstrap(t)
}

func (c *component) handleBootstrapResponse(t *core.Turn, from core.HostID, m core.BootstrapResponse) {
	if c.bootstrapped() || c.bootstrapDisks == nil || !slices.Contains(c.initialReplicas, from) {
		return
	}
	if m.Bootstrapped {
		c.bootstrapDisks = nil
		return
	}
	c.bootstrapDisks[from] = m.Disk
	c.tryBootstrap(t)
}

func (c *component) tryBootstrap(t *core.Turn) {
	var set core.ReplicaSet
	for _, h := range c.initialReplicas {
		disk, ok := c.bootstrapDisks[h]
		if !ok {
			return
		}
		set.Members = append(set.Members, core.Replica{Host: h, Disk: disk, Voter: true})
	}
	c.storeInitialReplicaSet(t, set)
}

// storeInitialReplicaSet stores the initial replica set as entry 1, which is the same on every replica.
func (c *component) storeInitialReplicaSet(t *core.Turn, set core.ReplicaSet) {
	included := slices.Contains(set.Members, core.Replica{Host: c.self, Disk: c.disk, Voter: true})
	if c.bootstrapped() || c.log.lastIndex() > 0 || !included {
		return
	}
	c.hardState = core.HardState{Epoch: 1}
	first := core.Entry{Index: 1, Epoch: 1, Kind: core.EntryReplicaSet, Replicas: set}
	c.log.entries = []core.Entry{first}
	c.persistEntries(t, c.log.entries)
	c.resetElectionDeadline(t)
}

// finishBootstrap sends the initial replica set to the other replicas once it is durable on the host that created it.
func (c *component) finishBootstrap(t *core.Turn) {
	if c.bootstrapDisks == nil || c.durableIndex < 1 {
		return
	}
	c.bootstrapDisks = nil
	c.sendInitialReplicaSet(t)
	c.electionDeadline = t.Now
}

// sendInitialReplicaSet sends the initial replica set to the other replicas if the log contains nothing else yet.
func (c *component) sendInitialReplicaSet(t *core.Turn) {
	if c.log.lastIndex() != 1 {
		return
	}
	set, _ := c.log.replicaSet()
	for _, r := range set.Members {
		if r.Host != c.self {
			t.Send(r.Host, core.InitialReplicaSet{Replicas: set})
		}
	}
}

// repairReplicaSet makes at most one change of the replica set at a time. A replica that returns with another data
// directory is added as a learner; once it stores all committed entries durably, the old data directory is removed
// from the set, and then the new one becomes a voter. Both changes must not be one entry: the majorities before and
// after it need not have a replica in common.
func (c *component) repairReplicaSet(t *core.Turn) {
	set, index := c.log.replicaSet()
	if index > c.commitIndex || !c.leaderReady {
		return
	}
	next, ok := c.nextReplicaSet(t, set)
	if !ok {
		return
	}
	t.LogDecision(core.Decision{Component: "replica", Choice: "keeperSet", Reason: next.reason, Target: string(next.host)})
	c.appendEntry(t, core.Entry{Kind: core.EntryReplicaSet, Replicas: core.ReplicaSet{Members: next.replicas}})
	c.replicate(t)
}

// replicaSetChange is the next change of the replica set, the host that it concerns and the reason.
type replicaSetChange struct {
	replicas []core.Replica
	host     core.HostID
	reason   string
}

func (c *component) nextReplicaSet(t *core.Turn, set core.ReplicaSet) (replicaSetChange, bool) {
	replicas := slices.Clone(set.Members)
	for _, propose := range []func(*core.Turn, []core.Replica) (replicaSetChange, bool){
		c.removeExtraVoter, c.promoteLearner, c.addLearner, c.removeLearner,
	} {
		if next, ok := propose(t, replicas); ok {
			return next, true
		}
	}
	return replicaSetChange{}, false
}

// removeExtraVoter removes a voter if there are more than the target: one that is unresponsive or leaving or, if it has
// responded again in the meantime, the one that was added last.
func (c *component) removeExtraVoter(t *core.Turn, replicas []core.Replica) (replicaSetChange, bool) {
	if c.targetVoters == 0 || len(c.voters()) <= c.targetVoters {
		return replicaSetChange{}, false
	}
	extra := c.unresponsiveVoter(t, replicas)
	if extra < 0 && c.allVotersHaveResponded() {
		for i, r := range replicas {
			if r.Voter && r.Host != c.self {
				extra = i
			}
		}
	}
	if extra < 0 {
		return replicaSetChange{}, false
	}
	host := replicas[extra].Host
	return replicaSetChange{slices.Delete(replicas, extra, extra+1), host, "another voter has taken its place"}, true
}

// allVotersHaveResponded reports whether each other voter has responded to this leader.
func (c *component) allVotersHaveResponded() bool {
	return !slices.ContainsFunc(c.voters(), func(r core.Replica) bool {
		pr := c.peers[r.Host]
		return r.Host != c.self && (pr == nil || pr.ackedRound == 0)
	})
}

// promoteLearner makes a learner that has caught up a voter. The old data directory of its host, which is lost, is removed
// first, by a separate change. A voter that is unresponsive or leaving is removed only after the learner has become a voter in
// its place: its data directory may be needed if another one is lost meanwhile.
func (c *component) promoteLearner(t *core.Turn, replicas []core.Replica) (replicaSetChange, bool) {
	for i, r := range replicas {
		if r.Voter || !c.isCaughtUp(t, r) {
			continue
		}
		old := slices.IndexFunc(replicas, func(o core.Replica) bool { return o.Host == r.Host && o.Voter })
		if old >= 0 {
			return replicaSetChange{slices.Delete(replicas, old, old+1), r.Host, "the host has replaced its data directory"}, true
		}
		voters := len(c.voters())
		switch {
		case voters < c.targetVoters || c.targetVoters == 0:
			replicas[i].Voter = true
			return replicaSetChange{replicas, r.Host, "a learner has caught up"}, true
		case voters == c.targetVoters && c.unresponsiveVoter(t, replicas) >= 0:
			replicas[i].Voter = true
			return replicaSetChange{replicas, r.Host, "a voter is unresponsive or leaving and a standby is ready"}, true
		}
	}
	return replicaSetChange{}, false
}

// voterReplaceTimeout is how long a voter must have been unresponsive before a standby replaces it: longer than an
// election, and well within the time in which the replica set must be complete again before the next host may be lost.
const voterReplaceTimeout = 1500 * time.Millisecond

// unresponsiveVoter returns the index of the voter that has not responded for the longest time, at least
// voterReplaceTimeout, or of one that is leaving; -1 if there is none.
func (c *component) unresponsiveVoter(t *core.Turn, replicas []core.Replica) int {
	unresponsive, longest := -1, voterReplaceTimeout
	for i, r := range replicas {
		if !r.Voter || r.Host == c.self {
			continue
		}
		if idle := c.sinceLastResponse(t, r.Host); idle >= longest || c.isLeaving(r) {
			unresponsive, longest = i, max(idle, voterReplaceTimeout)
		}
	}
	return unresponsive
}

// isLeaving reports whether a replica's host has announced that it is shutting down.
func (c *component) isLeaving(r core.Replica) bool {
	return slices.ContainsFunc(c.members, func(m core.Member) bool { return m.Host == r.Host && m.Leaving })
}

// addLearner adds the data directory of a live host as a learner, either to replace a lost data directory or as a
// standby.
func (c *component) addLearner(_ *core.Turn, replicas []core.Replica) (replicaSetChange, bool) {
	for _, m := range c.members {
		if m.Disk == "" || m.State != core.MemberAlive || m.Leaving || !c.needsLearner(replicas, m) {
			continue
		}
		replicas = slices.DeleteFunc(replicas, func(r core.Replica) bool { return r.Host == m.Host && !r.Voter })
		delete(c.peers, m.Host)
		return replicaSetChange{
			append(replicas, core.Replica{Host: m.Host, Disk: m.Disk}), m.Host, "the host has a new data directory",
		}, true
	}
	return replicaSetChange{}, false
}

// removeLearner removes a learner whose host is no longer a member. A fixed replica set is not changed.
func (c *component) removeLearner(_ *core.Turn, replicas []core.Replica) (replicaSetChange, bool) {
	if c.targetVoters == 0 {
		return replicaSetChange{}, false
	}
	for i, r := range replicas {
		known := slices.ContainsFunc(c.members, func(m core.Member) bool { return m.Host == r.Host })
		if !r.Voter && !known {
			return replicaSetChange{slices.Delete(replicas, i, i+1), r.Host, "the learner's host is no longer a member"}, true
		}
	}
	return replicaSetChange{}, false
}

// maxStandbys bounds the learners that are kept ready to replace a voter.
const maxStandbys = 8

// needsLearner reports whether a member's data directory should be added to the replica set: it is not in the set,
// and the host is in the set with another data directory or there is room for a standby.
func (c *component) needsLearner(replicas []core.Replica, m core.Member) bool {
	known := slices.ContainsFunc(replicas, func(r core.Replica) bool { return r.Host == m.Host })
	same := slices.ContainsFunc(replicas, func(r core.Replica) bool { return r.Host == m.Host && r.Disk == m.Disk })
	standbys := len(replicas) - len(c.voters())
	return (known || (c.targetVoters > 0 && standbys < maxStandbys)) && !same && m.Host != c.self
}

// isCaughtUp reports whether a learner is responsive and stores all committed entries.
func (c *component) isCaughtUp(t *core.Turn, r core.Replica) bool {
	return c.sinceLastResponse(t, r.Host) < MinElectionTimeout && c.matchIndexOf(r) >= c.commitIndex
}
