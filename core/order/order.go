package order

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// SendWindow is how long after the leader requested the verification of its leadership an assign request may be sent.
	SendWindow = 2 * time.Second
	// Timeout is the longest duration of an assign request. Any request of an earlier leader has therefore ended once
	// SendWindow and Timeout have passed.
	Timeout = 30 * time.Second
	// retryDelay is the delay before an engine whose assign request failed or was rejected gets the next one; an
	// engine that reports no mismatch for longer is forgotten.
	retryDelay = 5 * time.Second
	// settleTime is how long an engine may take to carry out an assign request that it has accepted.
	settleTime = 15 * time.Second
)

const (
	rank = 65
	// maxConcurrentLoads limits the assign requests in flight, because the weight store's bandwidth is limited and
	// shared.
	maxConcurrentLoads = 2
	// maxMismatches limits the engines that wait for an assign request.
	maxMismatches = 4096
)

// mismatch is an engine whose state differs from its assignment.
type mismatch struct {
	announcement core.Announcement
	lastSeen     time.Time
	// notBefore is the earliest time of the next assign request.
	notBefore time.Time
	inFlight  bool
}

// assigner sends assign requests while this host leads the replica set.
//
// Each request carries the leader's term, so engines that check it reject a leader that was isolated. For engines
// that ignore it, a new leader first waits until the last request of its predecessor must have ended. Dispatchers do
// not send assign requests: two of them may exist at once, and neither has a fencing token that excludes the other.
type assigner struct {
	leading     bool
	epoch       core.Epoch
	leaderSince time.Time
	// assignDelay is how long a new leader sends no requests, so that engines do not get them alternately from two
	// leaders.
	assignDelay time.Duration
	config      *core.Config
	mismatches  map[core.UpstreamID]*mismatch
	// verifyQueue has the time at which the current verification was requested.
	verifyQueue     core.VerifyQueue[time.Time]
	verifyRequested time.Time
	nextTick        time.Time
}

func init() { core.Register(Plugin()) }

// Plugin returns the plug-in that sends assign requests.
func Plugin() core.Plugin { return core.Plugin{Name: "order", Rank: rank, New: newAssigner} }

func newAssigner(env core.Env) core.Component {
	a := &assigner{assignDelay: env.AssignDelay, config: &core.Config{}, mismatches: map[core.UpstreamID]*mismatch{}, verifyQueue: core.VerifyQueue[time.Time]{ID: core.VerifyQueueAssign}}
	return core.Component{Handle: a.handle, NextDeadline: func() time.Time { return a.nextTick }, Gauges: a.gauges}
}

func (a *assigner) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.LeaderChanged:
		a.leading, a.epoch, a.leaderSince = e.Self, e.Epoch, t.Now
		a.verifyRequested, a.nextTick = time.Time{}, time.Time{}
		a.verifyQueue.Reset()
		clear(a.mismatches)
	case core.ConfigActivated:
		a.config = e.Config
	case core.LeaderVerified:
		a.verified(t, e)
	case core.AssignRequestEnded:
		a.ended(t, e)
	case core.Tick:
		a.tick(t)
	case core.MessageReceived:
		if m, ok := e.Message.(core.AssignmentMismatch); ok && a.leading {
			a.addMismatch(t, m.Announcement)
		}
	}
}

func (a *assigner) addMismatch(t *core.Turn, announcement core.Announcement) {
	m := a.mismatches[announcement.ID]
	if m == nil {
		if len(a.mismatches) >= maxMismatches {
			return
		}
		m = &mismatch{}
		a.mismatches[announcement.ID] = m
	}
	if announcement.Incarnation < m.announcement.Incarnation {
		return
	}
	if announcement.Incarnation > m.announcement.Incarnation {
		// An engine that has restarted knows nothing of a request that its earlier incarnation accepted or rejected.
		m.notBefore = time.Time{}
	}
	m.announcement, m.lastSeen = announcement, t.Now
	if a.nextTick.IsZero() {
		a.nextTick = t.Now
		a.tick(t)
	}
}

// tick requests a verification of the leadership if an assign request is due.
func (a *assigner) tick(t *core.Turn) {
	if !core.Due(a.nextTick, t.Now) {
		return
	}
	a.nextTick = time.Time{}
	for id, m := range a.mismatches {
		if !m.inFlight && t.Now.Sub(m.lastSeen) > retryDelay && !t.Now.Before(m.notBefore) {
			delete(a.mismatches, id)
		}
	}
	if len(a.mismatches) == 0 {
		return
	}
	a.nextTick = t.Now.Add(time.Second)
	if len(a.due(t)) > 0 && (a.verifyRequested.IsZero() || t.Now.Sub(a.verifyRequested) >= SendWindow) {
		a.verifyRequested = t.Now
		a.verifyQueue.Reset()
		a.verifyQueue.Add(t, t.Now)
	}
}

// due returns the engines that may get an assign request now, at most as many as the weight store can serve.
func (a *assigner) due(t *core.Turn) []core.UpstreamID {
	loads := 0
	for _, m := range a.mismatches {
		if m.inFlight {
			loads++
		}
	}
	var out []core.UpstreamID
	for _, id := range slices.Sorted(maps.Keys(a.mismatches)) {
		m := a.mismatches[id]
		if loads < maxConcurrentLoads && !m.inFlight && !t.Now.Before(m.notBefore) && a.fenced(t, m) {
			out = append(out, id)
			loads++
		}
	}
	return out
}

// fenced reports whether no assign request of an earlier leader can still take effect on the engine.
func (a *assigner) fenced(t *core.Turn, m *mismatch) bool {
	if t.Now.Sub(a.leaderSince) < a.assignDelay {
		return false
	}
	checks := m.announcement.ChecksFencing && a.config.Policy(m.announcement.Pool).ChecksFencing
	return checks || t.Now.Sub(a.leaderSince) >= SendWindow+Timeout
}

func (a *assigner) verified(t *core.Turn, e core.LeaderVerified) {
	for _, requested := range a.verifyQueue.Verified(t, e) {
		a.verifyRequested = time.Time{}
		a.sendDue(t, requested.Add(SendWindow))
	}
}

// sendDue sends the assign requests that are due, each with the deadline for sending it.
func (a *assigner) sendDue(t *core.Turn, sendBefore time.Time) {
	for _, id := range a.due(t) {
		m := a.mismatches[id]
		assignment, ok := a.config.Assignment(id)
		if !ok || assignment.SatisfiedBy(&m.announcement) {
			delete(a.mismatches, id)
			continue
		}
		m.inFlight = true
		t.LogDecision(core.Decision{Component: "order", Choice: "order", Reason: "the engine's state does not match its assignment", Pool: assignment.Pool, Target: string(id)})
		t.Emit(core.SendAssignRequest{Request: core.AssignRequest{Assignment: assignment, Epoch: a.epoch}, Addr: m.announcement.Addr, Timeout: Timeout, SendBefore: sendBefore})
	}
}

func (a *assigner) ended(t *core.Turn, e core.AssignRequestEnded) {
	m := a.mismatches[e.Upstream]
	if m == nil || e.Epoch != a.epoch {
		return
	}
	if e.Failure == nil {
		// Only the engine's announcement shows that it has reached its assigned state; until settleTime has passed the
		// request is not resent.
		m.inFlight = false
		m.notBefore = t.Now.Add(settleTime)
		a.nextTick = t.Now
		return
	}
	t.LogDecision(core.Decision{Component: "order", Choice: "failure", Reason: e.Failure.Error(), Target: string(e.Upstream)})
	m.inFlight = false
	m.notBefore = t.Now.Add(retryDelay)
}

func (a *assigner) gauges(set func(string, int64)) { set("wanted", int64(len(a.mismatches))) }
