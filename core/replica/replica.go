package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

// Timing of heartbeats and elections.
const (
	// HeartbeatInterval is the time between two rounds of heartbeats of the leader.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElectionTimeout is the shortest election timeout of a replica that has seen a leader.
	MinElectionTimeout = 500 * time.Millisecond
	// MaxElectionTimeout is the upper bound of the random election timeout. A leader steps down after this time without
	// responses from a majority.
	MaxElectionTimeout = 1000 * time.Millisecond
)

const (
	// initialElectionTimeout is the base of the election timeout until this replica has seen a leader since it started.
	// If there is a leader, its heartbeats arrive within this time, and the other replicas reject a pre-vote anyway. If
	// all replicas were restarted, their first messages to each other may be lost, and a longer timeout only delays the
	// election.
	initialElectionTimeout = 200 * time.Millisecond
	// snapshotEntryThreshold is the number of applied entries in the log at which a snapshot is taken.
	snapshotEntryThreshold = 4096
	// snapshotByteThreshold is the total size in bytes of the configuration documents in the log at which a snapshot is
	// taken: a small part of the smallest disk.
	snapshotByteThreshold = 8 << 20
	// maxAppendBytes bounds the size in bytes of the entries in one AppendRequest.
	maxAppendBytes = 1 << 20
	// minVoters is the smallest desired number of voters: with fewer, a host that is down for a moment stops all changes.
	minVoters = 3
	rank      = 10
)

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
	roleStopped
)

// progress is the replication state that the leader tracks for one other replica.
type progress struct {
	// disk identifies the data directory that the responses come from.
	disk       core.DiskID
	nextIndex  core.LogIndex
	matchIndex core.LogIndex
	ackedRound uint64
	// lastResponse is when the replica last sent a response.
	lastResponse time.Time
	// lastProgress is when entries were last sent or acknowledged.
	lastProgress time.Time
}

// responsiveReplicas counts the replicas and those of them that the leader has heard from recently.
type responsiveReplicas struct {
	votersUp   int
	voters     int
	standbysUp int
}

// deferredMessage is a message that must not be sent before the write with number seq is durable.
type deferredMessage struct {
	seq uint64
	to  core.HostID
	msg core.Message
}

// pendingWrite is a write that is not durable yet; index and term are those of the last entry that it contains or that
// its snapshot covers. The entries up to index count towards a commit once the write is durable.
type pendingWrite struct {
	seq   uint64
	index core.LogIndex
	term  core.Epoch
}

// verification is a VerifyLeader event that waits until a majority has acknowledged a round of heartbeats.
type verification struct {
	tag   uint64
	round uint64
}

// component is the replicated log on one host.
//
// The algorithm is Raft (Ongaro and Ousterhout 2014) with pre-vote, a quorum check by the leader, and membership
// changes of one replica at a time. Two alternatives were rejected: Multi-Paxos, because it leaves gaps in the log that
// snapshots must handle, and primary-backup replication, because it needs an external store to choose the primary. For
// reads and leases the leader verifies its leadership by a round of heartbeats and never by its clock, so safety does
// not depend on synchronized clocks.
type component struct {
	self            core.HostID
	disk            core.DiskID
	initialReplicas []core.HostID
	// targetVoters is the desired number of voters, or zero if the replica set is fixed.
	targetVoters  int
	rand          *rand.Rand
	unsafeOptions UnsafeOptions

	role         role
	hardState    core.HardState
	log          entryLog
	commitIndex  core.LogIndex
	appliedIndex core.LogIndex
	leader       core.HostID
	// leaderReady is true once this host leads and has applied the no-op entry of its term.
	leaderReady bool
	// seenLeader is true once this replica has known a leader since it started.
	seenLeader        bool
	noopIndex         core.LogIndex
	persistSeq        uint64
	syncedSeq         uint64
	durableIndex      core.LogIndex
	deferred          []deferredMessage
	pendingWrites     []pendingWrite
	electionDeadline  time.Time
	heartbeatDeadline time.Time
	// checkDeadline is when the leader next checks its quorum and the replica set. It is independent of heartbeatDeadline,
	// which every verification of the leadership postpones: many verifications must not delay this check.
	checkDeadline     time.Time
	heartbeatRound    uint64
	verifications     []verification
	lastLeaderContact time.Time
	votes             map[core.HostID]bool
	peers             map[core.HostID]*progress
	members           []core.Member
	bootstrapDisks    map[core.HostID]core.DiskID
	// responsive is what the leader last logged.
	responsive responsiveReplicas
	// rewriteAt is when a replica whose disk has failed next tries to write its log again, zero while a try is running.
	// rewriteSeq is the number of the last try, or zero.
	rewriteAt  time.Time
	rewriteSeq uint64
}

// UnsafeOptions disables safety rules, so that tests can show that their checks detect a violation; production uses
// the zero value.
type UnsafeOptions struct {
	// VoteWithoutMembership lets a replica vote although its data directory is not in the replica set.
	VoteWithoutMembership bool
	// AckBeforeSync acknowledges entries and votes before they are durable.
	AckBeforeSync bool
}

func init() { core.Register(Plugin(UnsafeOptions{})) }

// Plugin returns the plug-in; unsafeOptions is the zero value except in tests.
func Plugin(unsafeOptions UnsafeOptions) core.Plugin {
	return core.Plugin{Name: "replica", Rank: rank, New: func(env core.Env) core.Component {
		return newComponent(env, unsafeOptions)
	}}
}

func newComponent(env core.Env, unsafeOptions UnsafeOptions) core.Component {
	if env.Disk == "" {
		return core.Component{Handle: rejectProposals}
	}
	c := &component{
		self: env.Self, disk: env.Disk, initialReplicas: slices.Sorted(slices.Values(env.InitialReplicas)),
		targetVoters: env.TargetVoters, rand: env.Rand, unsafeOptions: unsafeOptions,
	}
	if c.targetVoters > 0 {
		c.targetVoters = max(c.targetVoters, minVoters)
	}
	c.hardState = env.StoredState.Hard
	if s := env.StoredState.Snapshot; s != nil {
		c.log.compactTo(s)
		c.commitIndex = s.Index
	}
	c.log.entries = slices.Clone(env.StoredState.Entries)
	c.durableIndex = c.log.lastIndex()
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Save: c.fillSnapshot, Gauges: c.gauges}
}

// rejectProposals handles the events of a host that has no working data directory.
func rejectProposals(t *core.Turn, ev core.Event) {
	if e, ok := ev.(core.Propose); ok {
		t.Post(core.ProposeFailed{Entry: e.Entry, Failure: core.Fail(core.KindNoLeader, "this host has no replicated log")})
	}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	if c.role == roleStopped {
		c.handleStopped(t, ev)
		return
	}
	switch e := ev.(type) {
	case core.Started:
		c.start(t)
	case core.Tick:
		c.tick(t)
	case core.Persisted:
		c.handlePersisted(t, e.Seq)
	case core.Draining:
		c.transferLeadership(t)
	case core.DiskFailed:
		c.stop(t, e.Reason)
	case core.Propose:
		c.propose(t, e.Entry)
	case core.VerifyLeader:
		c.verifyLeader(t, e.Tag)
	case takeSnapshot:
		c.compactLog(t, e.index)
	case core.MembersChanged:
		c.members = e.Members
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.VoteRequest:
		c.handleVoteRequest(t, from, m)
	case core.VoteResponse:
		c.handleVoteResponse(t, from, m)
	case core.AppendRequest:
		c.handleAppendRequest(t, from, m)
	case core.InstallSnapshotRequest:
		c.handleInstallSnapshot(t, from, m)
	case core.AppendResponse:
		c.handleAppendResponse(t, from, m)
	case core.TimeoutNow:
		c.handleTimeoutNow(t, from, m)
	case core.BootstrapRequest:
		t.Send(from, core.BootstrapResponse{Disk: c.disk, Bootstrapped: c.bootstrapped()})
	case core.BootstrapResponse:
		c.handleBootstrapResponse(t, from, m)
	case core.InitialReplicaSet:
		c.storeInitialReplicaSet(t, m.Replicas)
	}
}

func (c *component) start(t *core.Turn) {
	if c.log.snapshot != nil {
		t.LoadSnapshot(c.log.snapshot)
	}
	c.appliedIndex = c.commitIndex
	c.electionDeadline = t.Now.Add(initialElectionTimeout/2 + time.Duration(c.rand.Int64N(int64(initialElectionTimeout))))
	if c.isOnlyVoter() || !c.bootstrapped() {
		c.electionDeadline = t.Now
	}
}

func (c *component) tick(t *core.Turn) {
	if c.role == roleLeader {
		c.leaderTick(t)
		return
	}
	if !core.Due(c.electionDeadline, t.Now) {
		return
	}
	c.resetElectionDeadline(t)
	if !c.bootstrapped() {
		c.bootstrap(t)
		return
	}
	if c.isVoter() {
		c.campaign(t, electionPreVote)
	}
}

func (c *component) nextDeadline() time.Time {
	switch c.role {
	case roleLeader:
		return core.Earlier(c.heartbeatDeadline, c.checkDeadline)
	case roleStopped:
		return c.rewriteAt
	}
	return c.electionDeadline
}

func (c *component) resetElectionDeadline(t *core.Turn) {
	minTimeout, maxTimeout := MinElectionTimeout, MaxElectionTimeout
	if !c.seenLeader {
		minTimeout, maxTimeout = initialElectionTimeout, 2*initialElectionTimeout
	}
	c.electionDeadline = t.Now.Add(minTimeout + time.Duration(c.rand.Int64N(int64(maxTimeout-minTimeout))))
}

// persist writes the hard state, the given entries and the snapshot, if there is one, to disk. It returns the sequence
// number of the write; a Persisted event with this or a later number reports that it is durable.
func (c *component) persist(t *core.Turn, entries []core.Entry, s *core.Snapshot) uint64 {
	c.persistSeq++
	t.Emit(core.Persist{Seq: c.persistSeq, Hard: c.hardState, Entries: slices.Clone(entries), Snapshot: s})
	return c.persistSeq
}

// sendDurable sends a message once all writes requested so far are durable.
func (c *component) sendDurable(t *core.Turn, to core.HostID, m core.Message) {
	if c.syncedSeq >= c.persistSeq || c.unsafeOptions.AckBeforeSync {
		t.Send(to, m)
		return
	}
	c.deferred = append(c.deferred, deferredMessage{seq: c.persistSeq, to: to, msg: m})
}

func (c *component) handlePersisted(t *core.Turn, seq uint64) {
	c.syncedSeq = max(c.syncedSeq, seq)
	n := 0
	for n < len(c.deferred) && c.deferred[n].seq <= seq {
		t.Send(c.deferred[n].to, c.deferred[n].msg)
		n++
	}
	c.deferred = slices.Delete(c.deferred, 0, n)
	c.advanceDurableIndex(seq)
	c.finishBootstrap(t)
	if c.role == roleLeader {
		c.advanceCommitIndex(t)
	}
}

func (c *component) advanceDurableIndex(seq uint64) {
	n := 0
	for n < len(c.pendingWrites) && c.pendingWrites[n].seq <= seq {
		if term, ok := c.log.termAt(c.pendingWrites[n].index); ok && term == c.pendingWrites[n].term {
			c.durableIndex = max(c.durableIndex, c.pendingWrites[n].index)
		}
		n++
	}
	c.pendingWrites = slices.Delete(c.pendingWrites, 0, n)
}

// persistEntries writes new entries to disk and records the write, so that they count towards a commit once it is
// durable.
func (c *component) persistEntries(t *core.Turn, entries []core.Entry) {
	if len(entries) == 0 {
		return
	}
	c.durableIndex = min(c.durableIndex, entries[0].Index-1)
	last := entries[len(entries)-1]
	seq := c.persist(t, entries, nil)
	c.pendingWrites = append(c.pendingWrites, pendingWrite{seq: seq, index: last.Index, term: last.Epoch})
}

// applyCommitted posts the entries up to the commit index to the other components and requests a snapshot if one is
// due.
func (c *component) applyCommitted(t *core.Turn) {
	for c.appliedIndex < c.commitIndex {
		c.appliedIndex++
		t.Post(core.Committed{Entry: c.log.entries[c.appliedIndex-c.log.snapshotIndex-1]})
	}
	if c.role == roleLeader && !c.leaderReady && c.appliedIndex >= c.noopIndex {
		c.leaderReady = true
		t.Post(core.LeaderChanged{Leader: c.self, Epoch: c.hardState.Epoch, Self: true})
	}
	if c.appliedIndex-c.log.snapshotIndex >= snapshotEntryThreshold || c.log.documentBytes() >= snapshotByteThreshold {
		t.Post(takeSnapshot{index: c.appliedIndex})
	}
}

// fillSnapshot sets the index, the term and the replica set of a snapshot.
func (c *component) fillSnapshot(s *core.Snapshot) {
	s.Index = c.appliedIndex
	s.Epoch, _ = c.log.termAt(c.appliedIndex)
	s.Replicas = c.log.replicaSetAt(c.appliedIndex)
}

// setLeader records the leader that this replica knows, empty if none, and posts the change.
func (c *component) setLeader(t *core.Turn, leader core.HostID) {
	if c.leader == leader && !c.leaderReady {
		return
	}
	if c.leader != leader {
		t.LogDecision(core.Decision{
			Component: "replica", Choice: "leader",
			Reason: fmt.Sprintf("term %d, commit index %d", c.hardState.Epoch, c.commitIndex),
			Target: string(leader),
		})
	}
	c.leader, c.leaderReady = leader, false
	c.seenLeader = c.seenLeader || leader != ""
	t.Post(core.LeaderChanged{Leader: leader, Epoch: c.hardState.Epoch})
}

func (c *component) gauges(set func(string, int64)) {
	leading := int64(0)
	if c.role == roleLeader {
		leading = 1
	}
	set("leads", leading)
	set("epoch", int64(c.hardState.Epoch))
	set("commitIndex", int64(c.commitIndex))
	set("logEntries", int64(len(c.log.entries)))
	set("heldMessages", int64(len(c.deferred)))
	stopped := int64(0)
	if c.role == roleStopped {
		stopped = 1
	}
	set("stopped", stopped)
	if c.role == roleLeader {
		set("votersResponsive", int64(c.responsive.votersUp))
		set("voters", int64(c.responsive.voters))
	}
}
