package once

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 50
	// resendInterval is the time between sends of a record to the leader until it responds.
	resendInterval = 300 * time.Millisecond
	// intentTimeout is how long a call waits for its intent to be committed.
	intentTimeout = 5 * time.Second
	// outcomeTimeout is how long a response to the caller waits for the outcome of the call to be committed.
	outcomeTimeout = 2 * time.Second
	// sweepInterval is how often the leader looks for calls whose host is missing.
	sweepInterval = time.Second
)

// pendingRecord is an intent or outcome of a call of this host to which the leader has not responded.
type pendingRecord struct {
	request  core.RequestID
	record   core.IdempotencyRecord
	resendAt time.Time
	// deadline is when the request stops waiting for the response; zero means that it no longer waits.
	deadline time.Time
}

type component struct {
	self       core.HostID
	boot       uint64
	maxPending int
	leader     core.HostID
	leading    bool
	store      recordStore
	pending    map[core.RequestID]*pendingRecord
	// requesters are the hosts that wait for the response to a record that the leader has proposed.
	requesters   map[core.AttemptID]core.HostID
	members      map[core.HostID]core.Member
	missingSince map[core.AttemptID]time.Time
	nextSweep    time.Time
}

func init() { core.Register(Plugin()) }

// Plugin returns the plug-in for calls with an idempotency key.
func Plugin() core.Plugin { return core.Plugin{Name: "once", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		self: env.Self, boot: env.Boot, maxPending: env.Limits.Requests,
		store:        recordStore{maxRecords: env.Limits.IdempotencyRecords, records: map[core.IdempotencyKey]core.IdempotencyRecord{}},
		pending:      map[core.RequestID]*pendingRecord{},
		requesters:   map[core.AttemptID]core.HostID{},
		members:      map[core.HostID]core.Member{},
		missingSince: map[core.AttemptID]time.Time{},
	}
	load := func(_ *core.Turn, snapshot *core.Snapshot) { c.store.load(snapshot) }
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Save: c.store.save, Load: load, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.AcquireIdempotencyKey:
		c.acquire(t, e)
	case core.RecordOutcome:
		c.recordOutcome(t, e)
	case core.Committed:
		if e.Entry.Kind == core.EntryIdempotency {
			c.apply(t, e.Entry.Idempotency)
		}
	case core.LeaderChanged:
		c.leading = e.Self
		clear(c.requesters)
		clear(c.missingSince)
		c.nextSweep = t.Now.Add(hostMissingTimeout)
	case core.LeaseLeaderChanged:
		c.leader = e.Leader
	case core.MembersChanged:
		c.membersChanged(e)
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.IdempotencyRequest:
		c.handleRequest(t, from, m.Record)
	case core.IdempotencyResponse:
		c.handleResponse(t, m)
	}
}

func (c *component) membersChanged(e core.MembersChanged) {
	clear(c.members)
	for _, m := range e.Members {
		c.members[m.Host] = m
	}
}

func (c *component) acquire(t *core.Turn, e core.AcquireIdempotencyKey) {
	if len(c.pending) >= c.maxPending {
		t.Post(core.IdempotencyKeyDenied{Request: e.Request, Failure: core.Fail(core.KindOverloaded, "the host has too many pending idempotency records")})
		return
	}
	c.submit(t, &pendingRecord{
		request: e.Request, deadline: t.Now.Add(intentTimeout),
		record: core.IdempotencyRecord{Key: e.Key, ContentHash: e.ContentHash, State: core.IdempotencyIntent, Attempt: e.Attempt, Host: c.self, Boot: c.boot},
	})
}

func (c *component) recordOutcome(t *core.Turn, e core.RecordOutcome) {
	c.submit(t, &pendingRecord{
		request: e.Request, deadline: t.Now.Add(outcomeTimeout),
		record: core.IdempotencyRecord{Key: e.Key, ContentHash: e.ContentHash, State: e.State, Attempt: e.Attempt, Host: c.self, Boot: c.boot, Response: e.Response},
	})
}

func (c *component) submit(t *core.Turn, p *pendingRecord) {
	c.pending[p.request] = p
	p.resendAt = t.Now.Add(resendInterval)
	t.Send(c.leader, core.IdempotencyRequest{Record: p.record})
}

// handleRequest responds at once if the key's existing record settles the request; otherwise it proposes the requested
// record.
func (c *component) handleRequest(t *core.Turn, from core.HostID, r core.IdempotencyRecord) {
	if !c.leading {
		return
	}
	if old, ok := c.store.records[r.Key]; ok && isSettled(old, r) {
		t.Send(from, response(r, old))
		return
	}
	c.requesters[r.Attempt] = from
	r.RecordedAt = t.Now.UTC().Round(0)
	t.Post(core.Propose{Entry: core.Entry{Kind: core.EntryIdempotency, Idempotency: r}})
}

// isSettled reports whether the key's existing record determines the response to r, so that no log entry is needed.
func isSettled(old, r core.IdempotencyRecord) bool {
	if old.Attempt == r.Attempt {
		return !supersedes(old.State, r.State)
	}
	return old.State != core.IdempotencyNotExecuted || r.State != core.IdempotencyIntent || old.ContentHash != r.ContentHash
}

func (c *component) apply(t *core.Turn, r core.IdempotencyRecord) {
	current := c.store.apply(r)
	if from, ok := c.requesters[r.Attempt]; ok {
		delete(c.requesters, r.Attempt)
		t.Send(from, response(r, current))
	}
}

// response returns the response to a requested record: the record that the key has now and whether the requesting
// attempt owns it.
func response(requested, current core.IdempotencyRecord) core.IdempotencyResponse {
	m := core.IdempotencyResponse{Request: requested.Attempt.Request, Record: current, Owned: current.Attempt == requested.Attempt}
	m.Failure = denialFor(requested, current)
	return m
}

func denialFor(requested, current core.IdempotencyRecord) *core.Failure {
	switch {
	case current.Key == "":
		return core.Fail(core.KindOverloaded, "the limit of stored idempotency records is reached")
	case current.Attempt == requested.Attempt:
		return nil
	case current.ContentHash != requested.ContentHash:
		return core.Fail(core.KindIdempotencyConflict, "the idempotency key was used with different content")
	case current.State == core.IdempotencyDone && current.Response.TooLarge:
		return core.Fail(core.KindOutcomeUnknown, "the call was executed, but its response was too large to store")
	case current.State == core.IdempotencyIntent:
		return core.Fail(core.KindIdempotencyInProgress, "the first call with this idempotency key is still running")
	case current.State == core.IdempotencyUnknown:
		return core.Fail(core.KindOutcomeUnknown, "it is unknown whether the first call with this idempotency key was executed")
	}
	return nil
}

func (c *component) handleResponse(t *core.Turn, m core.IdempotencyResponse) {
	p := c.pending[m.Request]
	if p == nil || (m.Owned && m.Record.State < p.record.State) {
		return
	}
	delete(c.pending, m.Request)
	if p.record.State != core.IdempotencyIntent {
		if !p.deadline.IsZero() {
			t.Post(core.RecordOutcomeEnded{Request: m.Request})
		}
		return
	}
	if p.deadline.IsZero() {
		return
	}
	if m.Owned && m.Record.State == core.IdempotencyIntent {
		t.Post(core.IdempotencyKeyAcquired{Request: m.Request})
		return
	}
	denied := core.IdempotencyKeyDenied{Request: m.Request, Failure: m.Failure}
	if m.Failure == nil {
		denied.StoredResponse = &m.Record.Response
	}
	t.Post(denied)
}

func (c *component) tick(t *core.Turn) {
	for _, r := range slices.Sorted(maps.Keys(c.pending)) {
		c.pendingTick(t, c.pending[r])
	}
	if c.leading && core.Due(c.nextSweep, t.Now) {
		c.nextSweep = t.Now.Add(sweepInterval)
		c.markOrphansUnknown(t)
	}
}

func (c *component) pendingTick(t *core.Turn, p *pendingRecord) {
	if core.Due(p.deadline, t.Now) {
		p.deadline = time.Time{}
		if p.record.State == core.IdempotencyIntent {
			// The intent may still be committed; recording it as not executed lets the caller's resend run.
			p.record.State = core.IdempotencyNotExecuted
			t.Post(core.IdempotencyKeyDenied{Request: p.request, Failure: core.Fail(core.KindNoLeader, "no response from a leader")})
		} else {
			t.Post(core.RecordOutcomeEnded{Request: p.request})
		}
	}
	if core.Due(p.resendAt, t.Now) {
		p.resendAt = t.Now.Add(resendInterval)
		t.Send(c.leader, core.IdempotencyRequest{Record: p.record})
	}
}

// markOrphansUnknown records an unknown outcome for calls whose host left or restarted at least hostMissingTimeout
// ago.
func (c *component) markOrphansUnknown(t *core.Turn) {
	orphans := map[core.AttemptID]time.Time{}
	for _, r := range c.store.openIntents() {
		if m, ok := c.members[r.Host]; ok && m.Boot == r.Boot {
			continue
		}
		since, ok := c.missingSince[r.Attempt]
		if !ok {
			since = t.Now
		}
		orphans[r.Attempt] = since
		if t.Now.Sub(since) >= hostMissingTimeout {
			r.State = core.IdempotencyUnknown
			r.RecordedAt = t.Now.UTC().Round(0)
			t.Post(core.Propose{Entry: core.Entry{Kind: core.EntryIdempotency, Idempotency: r}})
		}
	}
	c.missingSince = orphans
}

func (c *component) nextDeadline() time.Time {
	var next time.Time
	if c.leading {
		next = c.nextSweep
	}
	for _, p := range c.pending {
		next = core.Earlier(next, core.Earlier(p.deadline, p.resendAt))
	}
	return next
}

func (c *component) gauges(set func(string, int64)) {
	set("records", int64(len(c.store.records)))
	set("answerBytes", int64(c.store.responseBytes))
	set("stepsOpen", int64(len(c.pending)))
}
