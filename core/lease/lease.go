package lease

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 30
	// statusTimeout is how long an operator's status request waits for the leader.
	statusTimeout        = 5 * time.Second
	statusResendInterval = 500 * time.Millisecond
	maxStatusRequests    = 256
)

// pendingStatus is an operator's status request that waits for the leader's response.
type pendingStatus struct {
	deadline time.Time
	resendAt time.Time
}

type component struct {
	holder         holder
	grantor        grantor
	statusRequests map[uint64]*pendingStatus
}

func init() { core.Register(Plugin()) }

// Plugin returns the lease plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "lease", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	emptyConfig := &core.Config{}
	emptyConfig.BuildIndex()
	c := &component{
		holder: holder{
			self: env.Self, serveStale: env.ServeStale, replicas: env.InitialReplicas, log: changeLog{config: emptyConfig},
			lastSeq: env.Rand.Uint64() >> 1, intN: env.Rand.IntN,
		},
		grantor: grantor{
			self: env.Self, log: changeLog{config: emptyConfig}, holders: map[core.HostID]heldLease{}, intN: env.Rand.IntN,
			verifyQueue: core.VerifyQueue[pendingRequest]{ID: core.VerifyQueueLease},
		},
		statusRequests: map[uint64]*pendingStatus{},
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Started:
		c.holder.sendRequest(t)
	case core.Tick:
		c.tick(t)
	case core.LeaderChanged:
		c.grantor.leaderChanged(t, e)
	case core.MembersChanged:
		c.grantor.members = e.Members
		c.holder.membersChanged(t, e.Members)
	case core.ConfigCommitted:
		c.grantor.configCommitted(t, e)
	case core.LeaderVerified:
		c.grantor.leaderVerified(t, e)
	case core.ConfigVersionHeard:
		c.holder.fetchFrom(t, source{host: e.From, version: e.Version})
	case core.OperatorStatusRequest:
		c.requestStatus(t, e.CorrelationID)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.LeaseRequest:
		c.grantor.handleRequest(t, from, m)
	case core.LeaseGrant:
		c.holder.handleGrant(t, m)
	case core.LeaseRedirect:
		c.holder.handleRedirect(t, m)
	case core.LeaseHint:
		c.holder.handleHint(t, from, m)
	case core.ConfigRequest:
		c.handleConfigRequest(t, from, m)
	case core.ConfigUpdate:
		c.holder.handleUpdate(t, m)
	case core.StatusRequest:
		c.grantor.handleStatusRequest(t, from, m)
	case core.StatusResponse:
		c.handleStatusResponse(t, m)
	}
}

// handleConfigRequest responds with the configuration that the leader has committed, or that is active on another host.
func (c *component) handleConfigRequest(t *core.Turn, from core.HostID, m core.ConfigRequest) {
	if c.grantor.leading {
		c.grantor.log.update(t, from, m.HaveVersion)
		return
	}
	c.holder.log.update(t, from, m.HaveVersion)
}

func (c *component) requestStatus(t *core.Turn, correlationID uint64) {
	if len(c.statusRequests) >= maxStatusRequests {
		t.Emit(core.OperatorStatusResponse{
			CorrelationID: correlationID, Failure: core.Fail(core.KindOverloaded, "too many pending status requests"),
		})
		return
	}
	c.statusRequests[correlationID] = &pendingStatus{
		deadline: t.Now.Add(statusTimeout), resendAt: t.Now.Add(statusResendInterval),
	}
	t.Send(c.holder.leader, core.StatusRequest{CorrelationID: correlationID})
}

func (c *component) handleStatusResponse(t *core.Turn, m core.StatusResponse) {
	if _, ok := c.statusRequests[m.CorrelationID]; !ok {
		return
	}
	delete(c.statusRequests, m.CorrelationID)
	t.Emit(core.OperatorStatusResponse{CorrelationID: m.CorrelationID, Status: m.Status})
}

func (c *component) tick(t *core.Turn) {
	if core.Due(c.holder.nextRequest, t.Now) {
		c.holder.sendRequest(t)
	}
	c.holder.expireFetch(t)
	for _, correlationID := range slices.Sorted(maps.Keys(c.statusRequests)) {
		pending := c.statusRequests[correlationID]
		if core.Due(pending.deadline, t.Now) {
			delete(c.statusRequests, correlationID)
			t.Emit(core.OperatorStatusResponse{
				CorrelationID: correlationID, Failure: core.Fail(core.KindNoLeader, "no response from a leader"),
			})
			continue
		}
		if core.Due(pending.resendAt, t.Now) {
			pending.resendAt = t.Now.Add(statusResendInterval)
			t.Send(c.holder.leader, core.StatusRequest{CorrelationID: correlationID})
		}
	}
}

func (c *component) nextDeadline() time.Time {
	next := core.Earlier(c.holder.nextRequest, c.holder.fetch.deadline)
	for _, pending := range c.statusRequests {
		next = core.Earlier(next, core.Earlier(pending.deadline, pending.resendAt))
	}
	return next
}

func (c *component) gauges(set func(string, int64)) {
	set("version", int64(c.holder.log.config.Version))
	set("holders", int64(len(c.grantor.holders)))
}
