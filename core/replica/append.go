package replica

import (
	"fmt"
	"slices"
	"time"

	"oleanderlever/core"
)

// takeSnapshot is posted by this component to itself. It arrives after all components have applied the entries up to
// index.
type takeSnapshot struct{ index core.LogIndex }

// resendTimeout is how long the leader waits for an acknowledgement before it resends entries.
const resendTimeout = 2 * HeartbeatInterval

func (c *component) propose(t *core.Turn, e core.Entry) {
	if c.role != roleLeader || !c.leaderReady {
		t.Post(core.ProposeFailed{
			Entry:   e,
			Failure: core.Fail(core.KindNoLeader, "this host is not a ready leader; the known leader is %q", c.leader),
		})
		return
	}
	c.appendEntry(t, e)
	c.replicate(t)
}

// appendEntry appends an entry to the leader's own log with the next index and the current term.
func (c *component) appendEntry(t *core.Turn, e core.Entry) {
	e.Index, e.Epoch = c.log.lastIndex()+1, c.hardState.Epoch
	c.log.entries = append(c.log.entries, e)
	c.persistEntries(t, []core.Entry{e})
	if c.unsafeOptions.AckBeforeSync {
		c.durableIndex = e.Index
	}
}

// progressOf returns the progress of another replica and creates it if there is none.
func (c *component) progressOf(t *core.Turn, h core.HostID) *progress {
	pr := c.peers[h]
	if pr == nil {
		pr = &progress{nextIndex: max(c.log.lastIndex(), c.log.snapshotIndex+1), lastResponse: t.Now, lastProgress: t.Now}
		c.peers[h] = pr
	}
	return pr
}

// peerHosts returns the hosts that the leader replicates to. A host with several data directories in the set is
// listed once.
func (c *component) peerHosts() []core.HostID {
	set, _ := c.log.replicaSet()
	var hosts []core.HostID
	for _, r := range set.Members {
		if r.Host != c.self && !slices.Contains(hosts, r.Host) {
			hosts = append(hosts, r.Host)
		}
	}
	return hosts
}

// leaderTick runs the periodic checks of the leader and sends heartbeats.
func (c *component) leaderTick(t *core.Turn) {
	if core.Due(c.checkDeadline, t.Now) {
		c.checkDeadline = t.Now.Add(HeartbeatInterval)
		c.checkReplicaSet(t)
	}
	if c.role == roleLeader && core.Due(c.heartbeatDeadline, t.Now) {
		c.broadcastHeartbeat(t)
	}
}

// checkReplicaSet makes the leader step down if it has lost its quorum, and otherwise repairs the replica set.
func (c *component) checkReplicaSet(t *core.Turn) {
	responsive := func(r core.Replica) bool {
		return r.Host == c.self || t.Now.Sub(c.progressOf(t, r.Host).lastResponse) < MaxElectionTimeout
	}
	if !c.hasQuorum(responsive) {
		c.becomeFollower(t, c.hardState.Epoch, "")
		return
	}
	c.logResponsive(t, responsive)
	c.repairReplicaSet(t)
}

// logResponsive logs how many voters and standbys respond whenever that changes, so that a reserve that has been lost shows
// before the next failure.
func (c *component) logResponsive(t *core.Turn, responsive func(core.Replica) bool) {
	var r responsiveReplicas
	set, _ := c.log.replicaSet()
	for _, member := range set.Members {
		switch {
		case member.Voter && responsive(member):
			r.votersUp++
			r.voters++
		case member.Voter:
			r.voters++
		case responsive(member):
			r.standbysUp++
		}
	}
	if r == c.responsive {
		return
	}
	c.responsive = r
	t.LogDecision(core.Decision{
		Component: "replica", Choice: "responsive",
		Reason: fmt.Sprintf("%d of %d voters and %d standbys respond", r.votersUp, r.voters, r.standbysUp), Target: string(c.self),
	})
}

// broadcastHeartbeat starts a round of heartbeats. It resends entries that were not acknowledged within resendTimeout.
func (c *component) broadcastHeartbeat(t *core.Turn) {
	c.heartbeatRound++
	c.heartbeatDeadline = t.Now.Add(HeartbeatInterval)
	for _, h := range c.peerHosts() {
		pr := c.progressOf(t, h)
		if t.Now.Sub(pr.lastProgress) >= resendTimeout {
			pr.nextIndex = min(pr.nextIndex, pr.matchIndex+1)
		}
		c.sendAppend(t, h, pr)
	}
	c.completeVerifications(t)
}

// replicate sends an AppendRequest or a snapshot to every other replica.
func (c *component) replicate(t *core.Turn) {
	for _, h := range c.peerHosts() {
		c.sendAppend(t, h, c.progressOf(t, h))
	}
}

// sendAppend sends the entries from nextIndex on to a replica, or the snapshot if the log no longer has them.
func (c *component) sendAppend(t *core.Turn, h core.HostID, pr *progress) {
	if pr.nextIndex <= c.log.snapshotIndex {
		pr.nextIndex = c.log.lastIndex() + 1
		pr.lastProgress = t.Now
		t.Send(h, core.InstallSnapshotRequest{Epoch: c.hardState.Epoch, Snapshot: *c.log.snapshot, Round: c.heartbeatRound})
		return
	}
	prev := pr.nextIndex - 1
	prevTerm, _ := c.log.termAt(prev)
	request := core.AppendRequest{
		Epoch: c.hardState.Epoch, PrevIndex: prev, PrevEpoch: prevTerm, CommitIndex: c.commitIndex, Round: c.heartbeatRound,
	}
	if pr.nextIndex <= c.log.lastIndex() {
		request.Entries = c.log.entriesFrom(pr.nextIndex, maxAppendBytes)
		pr.nextIndex += core.LogIndex(len(request.Entries))
		pr.lastProgress = t.Now
	}
	t.Send(h, request)
}

func (c *component) handleAppendRequest(t *core.Turn, from core.HostID, m core.AppendRequest) {
	if m.Epoch < c.hardState.Epoch {
		t.Send(from, core.AppendResponse{Epoch: c.hardState.Epoch, Disk: c.disk, Round: m.Round})
		return
	}
	c.acceptLeader(t, from, m.Epoch)
	response := core.AppendResponse{Epoch: m.Epoch, Disk: c.disk, Round: m.Round}
	if m.PrevIndex > c.log.lastIndex() {
		response.MatchIndex = c.log.lastIndex()
		c.sendDurable(t, from, response)
		return
	}
	if term, ok := c.log.termAt(m.PrevIndex); ok && term != m.PrevEpoch {
		response.MatchIndex = max(c.commitIndex, m.PrevIndex-1)
		c.sendDurable(t, from, response)
		return
	}
	c.persistEntries(t, c.log.merge(m.PrevIndex, m.Entries))
	response.OK = true
	response.MatchIndex = m.PrevIndex + core.LogIndex(len(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.CommitIndex, response.MatchIndex))
	c.sendDurable(t, from, response)
	c.applyCommitted(t)
}

// acceptLeader records contact from the leader of the current or a later term.
func (c *component) acceptLeader(t *core.Turn, from core.HostID, epoch core.Epoch) {
	c.becomeFollower(t, epoch, from)
	c.lastLeaderContact = t.Now
	c.resetElectionDeadline(t)
}

func (c *component) handleInstallSnapshot(t *core.Turn, from core.HostID, m core.InstallSnapshotRequest) {
	if m.Epoch < c.hardState.Epoch {
		t.Send(from, core.AppendResponse{Epoch: c.hardState.Epoch, Disk: c.disk, Round: m.Round})
		return
	}
	c.acceptLeader(t, from, m.Epoch)
	s := m.Snapshot
	if s.Index > c.commitIndex {
		c.log.entries = nil
		c.log.compactTo(&s)
		c.commitIndex, c.appliedIndex = s.Index, s.Index
		c.durableIndex = 0
		seq := c.persist(t, nil, &s)
		c.pendingWrites = append(c.pendingWrites, pendingWrite{seq: seq, index: s.Index, term: s.Epoch})
		t.LoadSnapshot(&s)
	}
	c.sendDurable(t, from, core.AppendResponse{Epoch: m.Epoch, Disk: c.disk, OK: true, MatchIndex: s.Index, Round: m.Round})
}

func (c *component) handleAppendResponse(t *core.Turn, from core.HostID, m core.AppendResponse) {
	if m.Epoch > c.hardState.Epoch {
		c.becomeFollower(t, m.Epoch, "")
		return
	}
	if c.role != roleLeader || m.Epoch != c.hardState.Epoch || !c.inReplicaSet(from, m.Disk) {
		return
	}
	pr := c.progressOf(t, from)
	if pr.disk != m.Disk {
		*pr = progress{disk: m.Disk, nextIndex: max(c.log.lastIndex(), c.log.snapshotIndex+1)}
	}
	pr.lastResponse = t.Now
	pr.ackedRound = max(pr.ackedRound, m.Round)
	if m.OK {
		c.recordMatch(t, pr, m.MatchIndex)
	} else if m.MatchIndex+1 < pr.nextIndex {
		pr.nextIndex = max(m.MatchIndex, pr.matchIndex) + 1
		pr.lastProgress = t.Now
		c.sendAppend(t, from, pr)
	}
	c.completeVerifications(t)
}

// inReplicaSet reports whether the replica set lists a host with this data directory. Responses from any other data
// directory, such as an older one, are ignored.
func (c *component) inReplicaSet(h core.HostID, disk core.DiskID) bool {
	set, _ := c.log.replicaSet()
	return c.unsafeOptions.VoteWithoutMembership ||
		slices.ContainsFunc(set.Members, func(r core.Replica) bool { return r.Host == h && r.Disk == disk })
}

func (c *component) recordMatch(t *core.Turn, pr *progress, match core.LogIndex) {
	if match > pr.matchIndex {
		pr.matchIndex = match
		pr.lastProgress = t.Now
	}
	pr.nextIndex = max(pr.nextIndex, pr.matchIndex+1)
	c.advanceCommitIndex(t)
}

// advanceCommitIndex commits the entries that a majority of voters store durably, provided that the last of them is of
// the current term.
func (c *component) advanceCommitIndex(t *core.Turn) {
	for i := c.log.lastIndex(); i > c.commitIndex; i-- {
		if term, _ := c.log.termAt(i); term != c.hardState.Epoch {
			return
		}
		if c.hasQuorum(func(r core.Replica) bool { return c.matchIndexOf(r) >= i }) {
			c.commitIndex = i
			c.applyCommitted(t)
			c.replicate(t)
			return
		}
	}
}

// matchIndexOf returns the highest index up to which a replica is known to store the log durably.
func (c *component) matchIndexOf(r core.Replica) core.LogIndex {
	if r.Host == c.self {
		return c.durableIndex
	}
	if pr := c.verifiedProgress(r); pr != nil {
		return pr.matchIndex
	}
	return 0
}

// verifiedProgress returns the progress of a replica, or nil if its responses come from another data directory than
// the replica set lists.
func (c *component) verifiedProgress(r core.Replica) *progress {
	pr := c.peers[r.Host]
	if pr == nil || (pr.disk != r.Disk && !c.unsafeOptions.VoteWithoutMembership) {
		return nil
	}
	return pr
}

// verifyLeader starts a round of heartbeats; once a majority has acknowledged it, LeaderVerified is posted with the
// tag. A host that is not a ready leader ignores the event.
func (c *component) verifyLeader(t *core.Turn, tag uint64) {
	if c.role != roleLeader || !c.leaderReady {
		return
	}
	c.verifications = append(c.verifications, verification{tag: tag, round: c.heartbeatRound + 1})
	c.broadcastHeartbeat(t)
}

func (c *component) completeVerifications(t *core.Turn) {
	n := 0
	for n < len(c.verifications) && c.roundAcknowledged(c.verifications[n].round) {
		t.Post(core.LeaderVerified{Tag: c.verifications[n].tag})
		n++
	}
	c.verifications = slices.Delete(c.verifications, 0, n)
}

func (c *component) roundAcknowledged(round uint64) bool {
	return c.hasQuorum(func(r core.Replica) bool {
		pr := c.verifiedProgress(r)
		return r.Host == c.self || (pr != nil && pr.ackedRound >= round)
	})
}

// compactLog replaces the applied entries with a snapshot. It does nothing if entries after index have been applied
// since.
func (c *component) compactLog(t *core.Turn, index core.LogIndex) {
	if index <= c.log.snapshotIndex || index != c.appliedIndex {
		return
	}
	s := t.SaveSnapshot()
	c.log.compactTo(s)
	c.persist(t, c.log.entries, s)
}

// sinceLastResponse returns the time since a replica last sent a response.
func (c *component) sinceLastResponse(t *core.Turn, h core.HostID) time.Duration {
	return t.Now.Sub(c.progressOf(t, h).lastResponse)
}
