package replica

import "oleanderlever/core"

// bootstrapped reports whether this host knows a replica set.
func (c *component) bootstrapped() bool {
	set, _ := c.log.replicaSet()
	return len(set.Members) > 0
}

// voters returns the voters of the latest replica set.
func (c *component) voters() []core.Replica {
	set, _ := c.log.replicaSet()
	var voters []core.Replica
	for _, r := range set.Members {
		if r.Voter {
			voters = append(voters, r)
		}
	}
	return voters
}

// isVoter reports whether this host has a vote with its current data directory.
func (c *component) isVoter() bool {
	for _, r := range c.voters() {
		if r.Host == c.self && r.Disk == c.disk {
			return true
		}
	}
	return false
}

func (c *component) isOnlyVoter() bool { return len(c.voters()) == 1 && c.isVoter() }

// hasQuorum reports whether a majority of the voters meet a condition.
func (c *component) hasQuorum(condition func(core.Replica) bool) bool {
	voters := c.voters()
	n := 0
	for _, r := range voters {
		if condition(r) {
			n++
		}
	}
	return n > len(voters)/2
}

// isVoterDisk reports whether a host is a voter with this data directory.
func (c *component) isVoterDisk(host core.HostID, disk core.DiskID) bool {
	for _, r := range c.voters() {
		if r.Host == host {
			return r.Disk == disk || c.unsafeOptions.VoteWithoutMembership
		}
	}
	return false
}

// electionKind is the pre-vote stage or the vote stage of an election, or the vote stage of a leadership transfer,
// which has no pre-vote because the leader requested the election.
type electionKind uint8

const (
	electionPreVote electionKind = iota
	electionVote
	electionTransfer
)

// campaign requests votes from all voters. The pre-vote stage does not change the term, so a replica that was
// isolated does not disrupt a working leader when it returns.
func (c *component) campaign(t *core.Turn, kind electionKind) {
	preVote := kind == electionPreVote
	request := core.VoteRequest{
		PreVote: preVote, Epoch: c.hardState.Epoch + 1, Disk: c.disk, LastIndex: c.log.lastIndex(), LastEpoch: c.log.lastTerm(),
		LeadershipTransfer: kind == electionTransfer,
	}
	c.votes = map[core.HostID]bool{}
	if preVote {
		c.role = rolePreCandidate
	} else {
		c.role = roleCandidate
		c.hardState = core.HardState{Epoch: request.Epoch, Vote: c.self}
		c.persist(t, nil, nil)
	}
	c.setLeader(t, "")
	c.sendInitialReplicaSet(t)
	c.sendDurable(t, c.self, core.VoteResponse{PreVote: preVote, Epoch: request.Epoch, Disk: c.disk, Granted: true})
	for _, r := range c.voters() {
		if r.Host != c.self {
			t.Send(r.Host, request)
		}
	}
}

func (c *component) handleVoteRequest(t *core.Turn, from core.HostID, m core.VoteRequest) {
	hasVote := c.isVoter() || c.unsafeOptions.VoteWithoutMembership
	leaderActive := c.leader != "" && t.Now.Sub(c.lastLeaderContact) < MinElectionTimeout
	if c.role == roleLeader {
		leaderActive = true
	}
	leaderActive = leaderActive && !m.LeadershipTransfer
	upToDate := m.LastEpoch > c.log.lastTerm() || (m.LastEpoch == c.log.lastTerm() && m.LastIndex >= c.log.lastIndex())
	if m.Epoch > c.hardState.Epoch && !leaderActive && !m.PreVote {
		c.becomeFollower(t, m.Epoch, "")
	}
	voteAvailable := m.Epoch > c.hardState.Epoch ||
		(m.Epoch == c.hardState.Epoch && (c.hardState.Vote == "" || c.hardState.Vote == from))
	granted := hasVote && !leaderActive && upToDate && voteAvailable
	if granted && !m.PreVote {
		c.hardState.Vote = from
		c.persist(t, nil, nil)
		c.resetElectionDeadline(t)
	}
	term := c.hardState.Epoch
	if granted {
		term = m.Epoch
	}
	c.sendDurable(t, from, core.VoteResponse{PreVote: m.PreVote, Epoch: term, Disk: c.disk, Granted: granted})
}

func (c *component) handleVoteResponse(t *core.Turn, from core.HostID, m core.VoteResponse) {
	if !m.Granted {
		if m.Epoch > c.hardState.Epoch {
			c.becomeFollower(t, m.Epoch, "")
		}
		return
	}
	isPreVote := c.role == rolePreCandidate && m.PreVote && m.Epoch == c.hardState.Epoch+1
	isVote := c.role == roleCandidate && !m.PreVote && m.Epoch == c.hardState.Epoch
	if (!isPreVote && !isVote) || !c.isVoterDisk(from, m.Disk) {
		return
	}
	c.votes[from] = true
	if !c.hasQuorum(func(r core.Replica) bool { return c.votes[r.Host] }) {
		return
	}
	if isPreVote {
		c.campaign(t, electionVote)
		return
	}
	c.becomeLeader(t)
}

// becomeFollower makes this host a follower of the given leader, empty if unknown, and enters the term if it is later
// than the current one.
func (c *component) becomeFollower(t *core.Turn, epoch core.Epoch, leader core.HostID) {
	if epoch > c.hardState.Epoch {
		c.hardState = core.HardState{Epoch: epoch}
		c.persist(t, nil, nil)
	}
	if c.role == roleLeader {
		c.clearLeaderState()
	}
	if c.role != roleFollower {
		c.resetElectionDeadline(t)
	}
	c.role = roleFollower
	c.setLeader(t, leader)
}

func (c *component) clearLeaderState() {
	c.peers = nil
	c.verifications = nil
	c.responsive = responsiveReplicas{}
}

func (c *component) becomeLeader(t *core.Turn) {
	c.role = roleLeader
	c.peers = map[core.HostID]*progress{}
	c.verifications = nil
	c.setLeader(t, c.self)
	c.noopIndex = c.log.lastIndex() + 1
	c.lastLeaderContact = t.Now
	c.checkDeadline = t.Now.Add(HeartbeatInterval)
	c.appendEntry(t, core.Entry{Kind: core.EntryNoop})
	c.broadcastHeartbeat(t)
}

// transferLeadership tells the responsive voter with the highest match index to start an election, because this host is
// shutting down.
func (c *component) transferLeadership(t *core.Turn) {
	if c.role != roleLeader {
		return
	}
	var best core.Replica
	for _, r := range c.voters() {
		if r.Host != c.self && c.sinceLastResponse(t, r.Host) < MinElectionTimeout &&
			(best.Host == "" || c.matchIndexOf(r) > c.matchIndexOf(best)) {
			best = r
		}
	}
	t.Send(best.Host, core.TimeoutNow{Epoch: c.hardState.Epoch})
}

// handleTimeoutNow starts an election without waiting for the election timeout.
func (c *component) handleTimeoutNow(t *core.Turn, from core.HostID, m core.TimeoutNow) {
	if c.isVoter() && from == c.leader && m.Epoch == c.hardState.Epoch {
		c.campaign(t, electionTransfer)
	}
}
