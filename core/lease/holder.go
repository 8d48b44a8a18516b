package lease

import (
	"fmt"
	"slices"
	"time"

	"oleanderlever/core"
)

// Durations of configuration leases and the renewal interval. A host that is isolated from the leader rejects a
// revoked key after at most Duration, or after at most MaxDuration in a large group, where renewals at RenewInterval
// would cost the leader too much bandwidth.
const (
	Duration      = 3 * time.Second
	MaxDuration   = 18 * time.Second
	RenewInterval = 500 * time.Millisecond
)

// renewIntervalPerHost limits the renewals of a large group to one per this interval; renewalsPerLease is the number of
// renewal intervals in a lease.
const (
	renewIntervalPerHost = 15 * time.Millisecond
	renewalsPerLease     = 6
)

// leaseTiming returns the lease duration and the renewal interval for a group with the given number of hosts.
func leaseTiming(hosts int) (lease, renewInterval time.Duration) {
	renewInterval = min(MaxDuration/4, max(RenewInterval, time.Duration(hosts)*renewIntervalPerHost))
	return min(MaxDuration, renewalsPerLease*renewInterval), renewInterval
}

// maxSentRequests limits the unanswered requests that a host remembers; responses to older ones are ignored. With a
// lease of Duration they could not extend it any more.
const maxSentRequests = 16

// redirectDelay keeps hosts that disagree about the leader from redirecting requests in a tight loop.
const redirectDelay = 20 * time.Millisecond

// sentRequest is a LeaseRequest that was sent and not yet answered.
type sentRequest struct {
	seq    uint64
	sentAt time.Time
}

// holder requests and renews this host's lease.
//
// The lease is counted from when the host sent its request, on the host's monotonic clock, and a majority verifies
// the leadership after the request. So no two clocks are compared, and a leader that is isolated from the majority
// can't extend a lease. Pushing each change to all hosts and waiting for their acknowledgements was rejected, because
// one unresponsive host would block a change.
type holder struct {
	replicas     []core.HostID
	nextReplica  int
	leader       core.HostID
	epoch        core.Epoch
	lastSeq      uint64
	sentRequests []sentRequest
	nextRequest  time.Time
	expires      time.Time
	// renewInterval is the interval between renewals that the leader requested.
	renewInterval time.Duration
	// log has the active configuration.
	log   changeLog
	fetch fetch
	self  core.HostID
	// peers are the other live hosts.
	peers []core.HostID
	intN  func(int) int
	// heardEpoch is the latest term that this host has heard of, heardLeader its leader.
	heardEpoch  core.Epoch
	heardLeader core.HostID
	// serveStale disables the expiry of leases: an isolated host keeps serving with its last configuration.
	serveStale bool
}

// unlimitedDuration is the lease duration of hosts with serveStale.
const unlimitedDuration = 100 * 365 * 24 * time.Hour

// sendRequest sends a request to the leader, or to the next replica if the leader is unknown. A leader that has not
// responded to three requests counts as unknown from the next one on.
func (h *holder) sendRequest(t *core.Turn) {
	h.nextRequest = t.Now.Add(h.requestInterval())
	to := h.leader
	if to == "" && len(h.replicas) > 0 {
		to = h.replicas[h.nextReplica%len(h.replicas)]
		h.nextReplica++
	}
	h.lastSeq++
	h.sentRequests = append(h.sentRequests, sentRequest{seq: h.lastSeq, sentAt: t.Now})
	if len(h.sentRequests) > maxSentRequests {
		h.sentRequests = slices.Delete(h.sentRequests, 0, 1)
	}
	if len(h.sentRequests) > 2 {
		h.leader = ""
	}
	t.Send(to, core.LeaseRequest{Seq: h.lastSeq, HaveVersion: h.log.config.Version})
}

// initialRequestInterval is the request interval of a host that has no configuration yet and so can't serve requests.
const initialRequestInterval = 100 * time.Millisecond

// requestInterval returns the time until the next request.
func (h *holder) requestInterval() time.Duration {
	switch {
	case h.log.config.Version == 0:
		return initialRequestInterval
	case len(h.sentRequests) > 0:
		return RenewInterval
	}
	return h.withJitter(max(RenewInterval, h.renewInterval))
}

// withJitter shortens an interval by up to a quarter, since the hosts of a fleet that started together would otherwise
// renew their leases all at once.
func (h *holder) withJitter(d time.Duration) time.Duration {
	const steps = 256
	return d - d*time.Duration(h.intN(steps))/(4*steps)
}

// membersChanged treats every host with a data directory as a replica, which may be the leader or know the leader.
func (h *holder) membersChanged(t *core.Turn, members []core.Member) {
	var replicas []core.HostID
	h.peers = nil
	for i := range members {
		if members[i].Host != h.self {
			h.peers = append(h.peers, members[i].Host)
		}
		if members[i].Disk != "" {
			replicas = append(replicas, members[i].Host)
		}
	}
	if len(replicas) == 0 {
		return
	}
	if len(h.replicas) == 0 {
		h.nextRequest = t.Now
	}
	h.replicas = replicas
}

// handleHint requests a lease from the leader of a newer term, and a newer configuration from its sender.
func (h *holder) handleHint(t *core.Turn, from core.HostID, m core.LeaseHint) {
	if m.Epoch > max(h.epoch, h.heardEpoch) {
		h.heardEpoch, h.heardLeader = m.Epoch, m.Leader
		if m.Leader == "" {
			h.heardLeader = from
		}
		// Unanswered requests to the previous leader say nothing about this one.
		h.sentRequests, h.leader = nil, h.heardLeader
		h.sendRequest(t)
		h.spread(t)
	}
	h.fetchFrom(t, source{host: from, version: m.Version})
}

func (h *holder) handleRedirect(t *core.Turn, m core.LeaseRedirect) {
	if m.Leader == "" || m.Leader == h.leader {
		return
	}
	h.leader = m.Leader
	h.nextRequest = core.Earlier(h.nextRequest, t.Now.Add(redirectDelay))
}

func (h *holder) handleGrant(t *core.Turn, m core.LeaseGrant) {
	i := slices.IndexFunc(h.sentRequests, func(r sentRequest) bool { return r.seq == m.Seq })
	if i < 0 {
		return
	}
	sentAt := h.sentRequests[i].sentAt
	h.renewInterval = m.RenewAfter
	h.nextRequest = core.Earlier(h.nextRequest, t.Now.Add(h.withJitter(max(RenewInterval, m.RenewAfter))))
	h.sentRequests = slices.Delete(h.sentRequests, 0, i+1)
	if m.Version > h.log.config.Version && !h.updateConfig(t, m.Version, m.Changes, m.Config) {
		return
	}
	lease := core.HolderLeaseTime(min(m.Duration, MaxDuration))
	if h.serveStale {
		lease = unlimitedDuration
	}
	if expires := sentAt.Add(lease); expires.After(h.expires) {
		h.expires = expires
		t.Post(core.LeaseChanged{Expires: expires})
	}
	if h.leader != m.Leader || h.epoch != m.Epoch {
		t.LogDecision(core.Decision{Component: "lease", Choice: "leader", Reason: fmt.Sprintf("term %d after %d", m.Epoch, h.epoch), Target: string(m.Leader)})
		h.leader, h.epoch = m.Leader, m.Epoch
		h.heardEpoch, h.heardLeader = m.Epoch, m.Leader
		t.Post(core.LeaseLeaderChanged{Leader: m.Leader, Epoch: m.Epoch})
	}
}

// updateConfig brings the configuration to a newer version, by changes or as a whole, and reports whether it succeeded.
func (h *holder) updateConfig(t *core.Turn, version core.ConfigVersion, changes []core.Change, config *core.Config) bool {
	next, previous := h.log, h.log.config.Version
	if config != nil {
		copied := *config
		copied.BuildIndex()
		next.replace(&copied)
	}
	next.changes = slices.Clone(next.changes)
	for i := range changes {
		applied, err := next.config.Apply(&changes[i])
		if err != nil {
			return false
		}
		next.add(applied, changes[i])
	}
	if next.config.Version != version {
		return false
	}
	t.LogDecision(core.Decision{Component: "lease", Choice: "inForce", Reason: fmt.Sprintf("version %d (revision %d) after %d", version, next.config.Revision, previous)})
	h.log = next
	t.Post(core.ConfigActivated{Config: next.config})
	h.spread(t)
	return true
}
