package lease

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// pendingRequest is a LeaseRequest or StatusRequest that waits for the leadership verification.
type pendingRequest struct {
	from    core.HostID
	request core.LeaseRequest
	status  *core.StatusRequest
}

// heldLease is the leader's record of one host's lease.
type heldLease struct {
	version core.ConfigVersion
	expires time.Time
}

// grantor grants leases while this replica is the leader.
type grantor struct {
	self    core.HostID
	leading bool
	leader  core.HostID
	epoch   core.Epoch
	// leaderSince is when this host became the leader. Leases from the previous leader may remain valid for a while
	// after it; the number of members bounds how long.
	leaderSince time.Time
	members     []core.Member
	// log has the configuration as sent to hosts, without Source: only the leader returns an operator's original text.
	log         changeLog
	intN        func(int) int
	verifyQueue core.VerifyQueue[pendingRequest]
	holders     map[core.HostID]heldLease
}

func (g *grantor) leaderChanged(t *core.Turn, e core.LeaderChanged) {
	g.leading, g.leader, g.epoch = e.Self, e.Leader, e.Epoch
	g.verifyQueue.Reset()
	g.leaderSince = t.Now
	clear(g.holders)
	if e.Self {
		g.sendHints(t)
	}
}

// sendHints tells every host about this leader, so that hosts request a lease from it at once. The previous leader may
// still be reachable for them and be isolated only from the other replicas.
func (g *grantor) sendHints(t *core.Turn) {
	for i := range g.members {
		t.Send(g.members[i].Host, g.hint())
	}
}

func (g *grantor) hint() core.LeaseHint {
	return core.LeaseHint{Version: g.log.config.Version, Epoch: g.epoch, Leader: g.self}
}

// startSpread tells this host and a few others of a new version; these tell the others.
func (g *grantor) startSpread(t *core.Turn) {
	t.Send(g.self, g.hint())
	var others []core.HostID
	for i := range g.members {
		if g.members[i].Host != g.self {
			others = append(others, g.members[i].Host)
		}
	}
	for _, to := range pick(others, leaderFanout, g.intN) {
		t.Send(to, g.hint())
	}
}

func (g *grantor) configCommitted(t *core.Turn, e core.ConfigCommitted) {
	config := *e.Config
	config.Source = nil
	if e.Change.Kind == 0 || e.Change.Kind == core.ChangeReplaceConfig {
		// The changes that led to a snapshot are not known. Of documents only the latest matters, and sending its full
		// configuration takes fewer bytes than the document with its text.
		g.log.replace(&config)
	} else {
		g.log.add(&config, e.Change)
	}
	if g.leading {
		g.startSpread(t)
	}
}

func (g *grantor) handleRequest(t *core.Turn, from core.HostID, m core.LeaseRequest) {
	if !g.leading {
		t.Send(from, core.LeaseRedirect{Leader: g.leader})
		return
	}
	g.verifyQueue.Add(t, pendingRequest{from: from, request: m})
}

func (g *grantor) leaderVerified(t *core.Turn, e core.LeaderVerified) {
	for _, r := range g.verifyQueue.Verified(t, e) {
		if r.status != nil {
			g.sendStatus(t, r.from, *r.status)
			continue
		}
		g.grant(t, r)
	}
}

func (g *grantor) grant(t *core.Turn, r pendingRequest) {
	lease, renewInterval := leaseTiming(max(len(g.members), len(g.holders)))
	m := core.LeaseGrant{
		Duration: lease, RenewAfter: renewInterval, Seq: r.request.Seq,
		Leader: g.self, Epoch: g.epoch, Version: g.log.config.Version,
	}
	var ok bool
	if m.Changes, m.Config, ok = g.log.since(r.request.HaveVersion); !ok {
		return
	}
	g.holders[r.from] = heldLease{version: r.request.HaveVersion, expires: t.Now.Add(lease)}
	t.Send(r.from, m)
}

// activeVersion returns the oldest configuration version that a host with a valid lease may use, or 0 while leases
// from the previous leader may be valid.
func (g *grantor) activeVersion(now time.Time) core.ConfigVersion {
	if previousLease, _ := leaseTiming(2 * len(g.members)); now.Sub(g.leaderSince) < previousLease {
		return 0
	}
	v := g.log.config.Version
	for h, l := range g.holders {
		if now.After(l.expires) {
			delete(g.holders, h)
			continue
		}
		v = min(v, l.version)
	}
	return v
}

// handleStatusRequest queues the request until a majority has verified the leadership: a leader whose process was
// suspended doesn't know whether another one has been elected since.
func (g *grantor) handleStatusRequest(t *core.Turn, from core.HostID, m core.StatusRequest) {
	if g.leading {
		g.verifyQueue.Add(t, pendingRequest{from: from, status: &m})
	}
}

func (g *grantor) sendStatus(t *core.Turn, from core.HostID, m core.StatusRequest) {
	s := t.SaveSnapshot()
	status := core.Status{
		Leader: g.self, Epoch: g.epoch, Version: g.log.config.Version, ActiveVersion: g.activeVersion(t.Now),
		Replicas: s.Replicas.Members, History: latestResults(s.Commands), Config: s.Config,
	}
	for _, h := range slices.Sorted(maps.Keys(g.holders)) {
		l := g.holders[h]
		status.Leases = append(status.Leases, core.LeaseStatus{Host: h, Version: l.version, Remaining: l.expires.Sub(t.Now)})
	}
	t.Send(from, core.StatusResponse{CorrelationID: m.CorrelationID, Status: status})
}

// maxHistory is the number of commands that a status lists.
const maxHistory = 64

func latestResults(results []core.CommandResult) []core.CommandResult {
	return results[max(0, len(results)-maxHistory):]
}
