package entry

import (
	"math/rand/v2"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
	"oleanderlever/core/ordered"
)

const rank = 70

// component drives the requests of one entry host. Each request is a state machine. Only this component tells the
// traffic goroutines what to do next for a request, so that no request gets two responses or is sent to two upstreams
// at once.
type component struct {
	boot uint64
	// dispatcherBackoffUntil holds the dispatchers that this host avoids, with the end of their back-off: they did not
	// respond in time or granted an upstream that is leaving.
	dispatcherBackoffUntil map[core.HostID]time.Time
	dataCentre             core.DataCentre
	maxRequests            int
	rand                   *rand.Rand
	dispatchers            dispatch.DispatcherSelector
	// retryPolicy limits retries; if Shared, its burst is divided by maxEntryHosts, the most entry hosts that were
	// known at once.
	retryPolicy   core.RetryBudget
	maxEntryHosts int
	config        *core.Config
	leaseExpires  time.Time
	// startedAt is when the host started; awaitingConfig lists the requests that wait for its first configuration.
	startedAt      time.Time
	awaitingConfig []core.RequestID
	members        []core.Member
	requests       map[core.RequestID]*request
	timers         ordered.Heap[*request]
	releases       map[releaseKey]*pendingRelease
	rejections     map[rejectionKey]*pendingRelease
	retryBuckets   map[core.PoolID]*retryBucket
	draining       bool
	drained        bool
	lameDuck       bool
	// leaving are the upstreams that are leaving or have deregistered; an isolated dispatcher may still choose them.
	leaving map[core.UpstreamID]leavingUpstream
	// retryAfter are the upstreams that want no request from this host for a time.
	retryAfter map[core.UpstreamID]statedWait
	// cold are the upstreams that have said that they are cold.
	cold map[core.UpstreamID]coldUpstream
	// regions has the regions of the data centres; unknownRegions are those of the configuration without a data centre.
	regions        map[core.DataCentre]core.Region
	unknownRegions []core.Region
	shutdown       shutdown
	// durations are those of the last requests of each pool.
	durations map[core.PoolID]*durations
	// hasUpstreams is true while at least one upstream is available.
	hasUpstreams bool
	// activeAttemptsAt is when the dispatchers are next sent this host's active attempts; zero means not scheduled.
	activeAttemptsAt time.Time
	// emptyLists counts, for each pool whose dispatcher is sent active attempts, the consecutive empty lists.
	emptyLists    map[core.PoolID]int
	unsafeRetries bool
	// centralPools are the pools of plain services whose dispatcher places the calls of all hosts, and whether that is because of
	// pressure.
	centralPools map[core.PoolID]centralPool
	// priorityRanks has the ranks of the pools that requests were admitted to in the active configuration.
	priorityRanks map[core.PoolID]map[core.PriorityKey]core.Priority
	// quarantined are sets of prompt parts; a request with all parts of a set must not reach an engine.
	quarantined [][]uint64
	// quarantinedRequests are the fingerprints of requests that must not reach an upstream.
	quarantinedRequests map[uint64]bool
}

func init() { core.Register(Plugin(false)) }

// Plugin returns the plug-in. Tests set unsafeRetries to also retry calls that may already have been executed.
func Plugin(unsafeRetries bool) core.Plugin {
	return core.Plugin{Name: "entry", Rank: rank, New: func(env core.Env) core.Component { return newComponent(env, unsafeRetries) }}
}

func newComponent(env core.Env, unsafeRetries bool) core.Component {
	empty := &core.Config{}
	empty.BuildIndex()
	c := &component{
		boot: env.Boot, unsafeRetries: unsafeRetries, maxRequests: env.Limits.Requests, config: empty, rand: env.Rand,
		dataCentre: env.DataCentre, dispatchers: dispatch.NewDispatcherSelector(env), retryPolicy: env.RetryBudget,
		dispatcherBackoffUntil: map[core.HostID]time.Time{},
		requests:               map[core.RequestID]*request{}, releases: map[releaseKey]*pendingRelease{}, rejections: map[rejectionKey]*pendingRelease{}, retryBuckets: map[core.PoolID]*retryBucket{}, leaving: map[core.UpstreamID]leavingUpstream{}, emptyLists: map[core.PoolID]int{},
		centralPools: map[core.PoolID]centralPool{}, retryAfter: map[core.UpstreamID]statedWait{}, durations: map[core.PoolID]*durations{},
		cold: map[core.UpstreamID]coldUpstream{}, regions: env.Regions,
		priorityRanks: map[core.PoolID]map[core.PriorityKey]core.Priority{},
	}
	c.timers = ordered.Heap[*request]{Index: func(r *request) *int { return &r.heapIndex }, Less: dueEarlier}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Started:
		c.startedAt = t.Now
	case core.RequestArrived:
		c.requestArrived(t, e.Request)
	case core.CallerDisconnected:
		c.callerDisconnected(t, e.Request)
	case core.OriginFound:
		c.originFound(t, e)
	case core.SoleVersion:
		c.soleVersionFound(t, e)
	case core.QuotaAcquired:
		c.quotaAcquired(t, e.Request)
	case core.QuotaDenied:
		c.refuse(t, c.requests[e.Request], e.Failure)
	case core.IdempotencyKeyAcquired:
		c.idempotencyKeyAcquired(t, e.Request)
	case core.IdempotencyKeyDenied:
		c.idempotencyKeyDenied(t, e)
	case core.RecordOutcomeEnded:
		c.recordOutcomeEnded(t, e.Request)
	case core.PrefillEnded:
		c.stated(t, e.Attempt, e.Statement)
		c.prefillEnded(t, e)
	case core.StreamStarted:
		c.stated(t, e.Attempt, e.Statement)
	case core.FirstToken:
		c.firstToken(t, e.Attempt)
	case core.DecodeEnded:
		c.stated(t, e.Attempt, e.Statement)
		c.decodeEnded(t, e)
	case core.CallEnded:
		c.stated(t, e.Attempt, e.Statement)
		c.callEnded(t, e)
	case core.ConfigActivated:
		c.config = e.Config
		clear(c.priorityRanks)
		c.logUnknownRegions(t)
		c.publishState(t)
		c.refuseRevoked(t)
		c.resumeAwaitingConfig(t)
	case core.LeaseChanged:
		c.leaseExpires = e.Expires
		c.publishState(t)
		c.resumeAwaitingConfig(t)
	case core.MembersChanged:
		c.members = e.Members
		// An isolated host must not claim the other hosts' shares of the retry budget.
		c.maxEntryHosts = max(c.maxEntryHosts, core.CountEntryHosts(e.Members))
		c.dispatchersChanged(t)
	case core.PoolPlacementChanged:
		c.poolPlacementChanged(t, e)
	case core.UpstreamCold:
		c.upstreamCold(t.Now, e)
	case core.UpstreamLeaving:
		c.upstreamLeaving(e)
	case core.UpstreamsAvailable:
		c.hasUpstreams = e.Count > 0
		c.publishState(t)
	case core.QuarantineChanged:
		c.quarantined = e.PromptParts
		c.refuseWaitingQuarantined(t)
	case core.RequestQuarantineChanged:
		c.requestQuarantineChanged(t, e.Fingerprints)
	case core.LameDuck:
		c.lameDuck = true
		c.shutDown(t.Now, e.EndsAt, e.LongUntil)
		c.publishState(t)
	case core.Draining:
		c.draining = true
		c.shutDown(t.Now, e.EndsAt, time.Time{})
		c.publishState(t)
		c.checkDrained(t)
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.PlacementGrant:
		c.placementGranted(t, from, m)
	case core.PlacementRefused:
		c.placementRefused(t, m)
	case core.PlacementQueued:
		c.placementQueued(t, from, m.Attempt)
	case core.PlacementClaimsRequest:
		c.sendClaims(t, from, m.Pool)
	case core.UnknownAttempts:
		c.claimUnknownAttempts(t, from, m.Attempts)
	case core.PlacementReleaseAck:
		delete(c.releases, releaseKey{attempt: m.Attempt, prefillOnly: m.PrefillOnly})
		delete(c.rejections, rejectionKey{attempt: m.Attempt, dispatcher: from})
	}
}

func (c *component) publishState(t *core.Turn) {
	t.Emit(core.PublishState{Config: c.config, LeaseExpires: c.leaseExpires, Draining: c.draining || c.lameDuck, HasUpstreams: c.hasUpstreams})
}

func (c *component) requestArrived(t *core.Turn, r core.Request) {
	if c.draining || len(c.requests) >= c.maxRequests {
		f := core.Fail(core.KindNotReady, "the host is shutting down")
		if !c.draining {
			f = core.Fail(core.KindOverloaded, "the host is at its request limit with %d requests in progress", len(c.requests))
		}
		t.Emit(core.RefuseRequest{Request: r.ID, Failure: f})
		return
	}
	if c.shouldAwaitConfig(t.Now) && r.Model == "" && c.requests[r.ID] == nil {
		c.awaitConfig(t, &r)
		return
	}
	c.start(t, r, t.Now)
}

// start admits a request that arrived at the given time and asks for its quota, or refuses it.
func (c *component) start(t *core.Turn, r core.Request, arrived time.Time) {
	a, f := c.admit(t, &r, arrived)
	rq := &request{Request: r, admission: a, fingerprint: r.Fingerprint(), stage: stageQuota, arrivedAt: arrived, heapIndex: -1}
	if f == nil && !c.accepts(rq, t.Now) {
		f = core.Fail(core.KindNotReady, "the host is shutting down and could end before the response is complete")
	}
	if f == nil {
		f = c.quarantineFailure(rq)
	}
	if f == nil && c.requests[r.ID] != nil {
		f = core.Fail(core.KindBadRequest, "a request with this ID is in progress")
	}
	if f != nil {
		t.LogDecision(core.Decision{Component: "entry", Choice: "refuse", Reason: f.Kind.String(), Request: r.ID, Account: a.account.ID, Pool: a.pool, Version: c.config.Version})
		t.Emit(core.RefuseRequest{Request: r.ID, Failure: f})
		return
	}
	rq.recordKey = recordKey(&a, &r)
	rq.urgency = c.urgencyOf(rq)
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "admit", Reason: "permitted by the configuration", Request: r.ID, Account: a.account.ID,
		Pool: a.pool, PromptTokens: r.PromptTokens, MaxTokens: a.outputLimit, Version: c.config.Version,
	})
	c.requests[r.ID] = rq
	if r.Continues && rq.route.Streaming {
		c.findOrigin(t, rq)
		return
	}
	c.acquireQuota(t, rq)
}

func (c *component) placementGranted(t *core.Turn, from core.HostID, m core.PlacementGrant) {
	r := c.requests[m.Attempt.Request]
	if r == nil || r.attemptID() != m.Attempt || (r.stage == stagePlacement && r.disconnected) {
		c.rejectGrant(t, from, m)
		return
	}
	if r.stage != stagePlacement {
		if from != r.dispatcher.host {
			c.rejectGrant(t, from, m)
		}
		return
	}
	r.grant, r.dispatcher.host = m, from
	switch {
	case r.unary:
		c.startCall(t, r)
	case r.kv != nil:
		c.startDecodeWithKV(t, r)
	case m.Prefill == "":
		c.startDecode(t, r)
	default:
		c.startPrefill(t, r)
	}
}

// enterStage begins a stage in which the attempt runs at an upstream.
func (c *component) enterStage(t *core.Turn, r *request, s stage) {
	if r.startedAt.IsZero() {
		r.startedAt = t.Now
	}
	r.stage = s
	c.schedule(r)
}

func (c *component) startCall(t *core.Turn, r *request) {
	m := &r.grant
	if c.refuseQuarantined(t, r) {
		return
	}
	if f := c.departureFailure(t.Now, r, decodeDeparture(m)); f != nil {
		c.rejectDeparture(t, r, f)
		return
	}
	c.enterStage(t, r, stageCall)
	r.callStartedAt = t.Now
	t.Emit(core.RunCall{
		Attempt: m.Attempt, Addr: m.DecodeAddr, UpstreamID: m.Decode, Account: r.account.ID,
		Timeout: r.callTimeout(t.Now), NewConnection: !r.route.Idempotent, Priority: r.upstreamPriority,
	})
}

// startPrefill runs the prompt on the prefill engine. On a streaming route, each further prefill of a request spends a
// retry of its own; if none is left, the decode engine processes the prompt.
func (c *component) startPrefill(t *core.Turn, r *request) {
	m := &r.grant
	// A prefill for a decode engine that may not be used would be wasted.
	f := c.departureFailure(t.Now, r, prefillDeparture(m))
	if f == nil {
		f = c.departureFailure(t.Now, r, decodeDeparture(m))
	}
	if f != nil {
		c.rejectDeparture(t, r, f)
		return
	}
	if r.route.Streaming && r.prefillCount > 0 && !c.retryBucketOf(r.pool).spend(c.retryPolicy, c.maxEntryHosts) {
		c.sendRelease(t, r, core.PlacementRelease{PrefillOnly: true, Unused: true})
		c.decodeWithoutKV(t, r, "the retry budget is exhausted; no further prefill", m.Prefill)
		return
	}
	r.prefillCount++
	c.enterStage(t, r, stagePrefill)
	t.Emit(core.RunPrefill{
		Attempt: m.Attempt, Addr: m.PrefillAddr, UpstreamID: m.Prefill, Account: r.account.ID, Epoch: m.Epoch,
		PrefixHashes: r.PrefixHashes, Timeout: r.prefillTimeout(), Priority: r.upstreamPriority,
	})
}

func (c *component) prefillEnded(t *core.Turn, e core.PrefillEnded) {
	r := c.requests[e.Attempt.Request]
	if r == nil || r.attemptID() != e.Attempt || r.stage != stagePrefill {
		return
	}
	if e.Failure != nil && e.Failure.UpstreamEnded {
		c.upstreamCrashed(t, r, r.grant.Prefill, e.Failure)
	}
	if e.Failure != nil && r.route.Streaming && wasRefused(e.Failure) && !c.retryBucketOf(r.pool).spend(c.retryPolicy, c.maxEntryHosts) {
		c.attemptFailed(t, r, e.Failure, r.grant.Prefill)
		return
	}
	if e.Failure != nil && r.route.Streaming {
		// The decode engine can process the prompt itself, which saves another attempt.
		release := r.releaseAfterFailure(e.Failure, r.grant.Prefill)
		release.PrefillOnly, release.Cancel = true, false
		c.sendRelease(t, r, release)
		c.decodeWithoutKV(t, r, e.Failure.Error(), r.grant.Prefill)
		return
	}
	if e.Failure != nil {
		c.attemptFailed(t, r, e.Failure, r.grant.Prefill)
		return
	}
	// A model request is charged for its prefilled prompt; on a streaming route only the decode counts as execution.
	r.mayHaveRun = r.mayHaveRun || !r.route.Streaming
	if r.enginePromptTokens == 0 {
		r.enginePromptTokens = e.PromptTokens
	}
	c.sendRelease(t, r, core.PlacementRelease{PrefillOnly: true})
	r.kv = &kvCache{ref: e.KV, expires: t.Now.Add(c.kvHandleTTL(r.pool))}
	c.startDecode(t, r)
}

// decodeWithoutKV starts the stream without a prefill's KV cache: the decode engine processes the prompt too. The log
// names target, the engine that failed or was skipped.
func (c *component) decodeWithoutKV(t *core.Turn, r *request, reason string, target core.UpstreamID) {
	t.LogDecision(core.Decision{Component: "entry", Choice: "bare", Reason: reason, Request: r.ID, Attempt: r.attemptID().Number, Pool: r.pool, Target: string(target)})
	r.kv = nil
	c.startDecode(t, r)
}

// startDecode starts the stream from the KV cache of a prefill, or from the prompt if there is none.
func (c *component) startDecode(t *core.Turn, r *request) {
	if c.refuseQuarantined(t, r) {
		return
	}
	if f := c.departureFailure(t.Now, r, decodeDeparture(&r.grant)); f != nil {
		c.rejectDeparture(t, r, f)
		return
	}
	r.decodeStartedAt = t.Now
	c.enterStage(t, r, stageDecode)
	d := core.RunDecode{
		Attempt: r.attemptID(), Addr: r.grant.DecodeAddr, UpstreamID: r.grant.Decode, Account: r.account.ID,
		Epoch: r.grant.Epoch, MaxTokens: r.outputLimit - r.relayedTokens, TokenTimeout: r.tokenTimeout(t.Now),
		Priority: r.upstreamPriority,
	}
	if r.route.EndToEndTimeout {
		d.Deadline = r.Deadline
	}
	if r.withKV = r.kv != nil; r.withKV {
		// An engine gives a KV cache away once.
		d.KV, r.sentKV, r.kv = r.kv.ref, *r.kv, nil
	}
	t.Emit(d)
}

func (c *component) firstToken(t *core.Turn, a core.AttemptID) {
	if r := c.requests[a.Request]; r != nil && r.attemptID() == a && r.stage == stageDecode {
		r.firstTokenLatency = t.Now.Sub(r.decodeStartedAt)
		c.responseBegan(t, r)
	}
}

func (c *component) decodeEnded(t *core.Turn, e core.DecodeEnded) {
	r := c.requests[e.Attempt.Request]
	if r == nil || r.attemptID() != e.Attempt || r.stage != stageDecode {
		return
	}
	tokensBefore := r.relayedTokens
	r.relayedTokens = e.RelayedTokens
	if r.relayedTokens > tokensBefore {
		c.responseBegan(t, r)
	}
	c.reportStream(t, r, &e, tokensBefore)
	if e.Failure == nil {
		r.mayHaveRun = true
		c.sendRelease(t, r, core.PlacementRelease{FirstTokenLatency: r.firstTokenLatency})
		c.finish(t, r)
		return
	}
	if e.ConnectionLost && r.reconnectCount < maxReconnects && !r.route.Streaming && c.mayResume(t.Now, r) {
		r.reconnectCount++
		t.LogDecision(core.Decision{Component: "entry", Choice: "resume", Reason: e.Failure.Message, Request: r.ID, Attempt: e.Attempt.Number, Pool: r.pool, Target: string(r.grant.Decode)})
		t.Emit(core.RunDecode{
			Attempt: e.Attempt, Addr: r.grant.DecodeAddr, UpstreamID: r.grant.Decode, Account: r.account.ID, Epoch: r.grant.Epoch,
			MaxTokens: r.outputLimit - r.relayedTokens, Resume: true, TokenTimeout: defaultTokenTimeout, Priority: r.upstreamPriority,
		})
		return
	}
	if e.Failure.Kind == core.KindUnreachable && r.withKV && t.Now.Before(r.sentKV.expires) {
		// The engine that made the KV cache still has it.
		r.kv, r.withKV = &r.sentKV, false
	}
	if r.wasKVRefused(e.Failure) {
		// Another engine that prefills the prompt itself helps whether this one or the KV cache was the reason.
		r.nextWithoutPrefill = r.mayRetry(e.Failure)
		if !r.nextWithoutPrefill && c.mayRepeatDecode(t.Now, r, e.Failure) && c.retryBucketOf(r.pool).spend(c.retryPolicy, c.maxEntryHosts) {
			c.decodeWithoutKV(t, r, e.Failure.Error(), r.grant.Decode)
			return
		}
	}
	c.attemptFailed(t, r, e.Failure, r.grant.Decode)
}

// wasKVRefused reports whether a decode engine refused a stream that has the KV cache of a prefill.
func (r *request) wasKVRefused(f *core.Failure) bool {
	return f.NotExecuted && f.Kind != core.KindMisdirected && f.Kind != core.KindUnreachable && r.route.Streaming && r.withKV
}

// mayRepeatDecode reports whether a decode that its engine refused with f may be sent to that engine again, without the KV cache.
func (c *component) mayRepeatDecode(now time.Time, r *request, f *core.Failure) bool {
	return !r.grant.SingleRequest && f.RetryAfter == 0 && c.departureFailure(now, r, decodeDeparture(&r.grant)) == nil
}

// wasRefused reports whether an upstream got a request and refused it, so that the next one is a retry although none has been
// executed.
func wasRefused(f *core.Failure) bool {
	return f.Kind == core.KindUpstreamRefused || f.Kind == core.KindMisdirected
}

// stated passes on what an upstream said of itself in the response to an attempt.
func (c *component) stated(t *core.Turn, a core.AttemptID, s *core.UpstreamStatement) {
	if r := c.requests[a.Request]; r != nil && s != nil {
		incarnation := r.grantedIncarnation(a, s.Upstream)
		t.Post(core.UpstreamStated{Pool: r.pool, Incarnation: incarnation, Statement: *s})
		c.recordRetryAfter(t, s, incarnation)
	}
}

func (c *component) callEnded(t *core.Turn, e core.CallEnded) {
	r := c.requests[e.Attempt.Request]
	if r == nil || r.attemptID() != e.Attempt || r.stage != stageCall {
		return
	}
	c.reportCall(t, r, e.Failure)
	if e.Failure != nil {
		c.attemptFailed(t, r, e.Failure, r.grant.Decode)
		return
	}
	r.mayHaveRun = true
	r.status = e.Response.Status
	if e.Response.Status >= minFailureStatus && r.retryable() && c.retry(t, r, failedResponse(&e.Response), r.grant.Decode) {
		return
	}
	c.sendRelease(t, r, core.PlacementRelease{CallTime: r.callTime(t.Now)})
	if r.recordKey == "" {
		c.finish(t, r)
		return
	}
	r.stage = stageRecord
	c.schedule(r)
	t.Post(core.RecordOutcome{Request: r.ID, Key: r.recordKey, ContentHash: r.ContentHash, Attempt: r.recordAttempt(), State: core.IdempotencyDone, Response: e.Response})
}

func (c *component) recordOutcomeEnded(t *core.Turn, id core.RequestID) {
	if r := c.requests[id]; r != nil && r.stage == stageRecord {
		r.recordKey = ""
		c.finish(t, r)
	}
}

// refuse responds with an error and removes the request. If the request owns or may own an idempotency record, the
// record becomes "not executed" if that is certain and "unknown" otherwise.
func (c *component) refuse(t *core.Turn, r *request, f *core.Failure) {
	if r == nil {
		return
	}
	if r.recordKey != "" && r.stage >= stageIdempotency {
		state := core.IdempotencyUnknown
		if f.NotExecuted || !r.mayHaveRun {
			state = core.IdempotencyNotExecuted
		}
		t.Post(core.RecordOutcome{Request: r.ID, Key: r.recordKey, ContentHash: r.ContentHash, Attempt: r.recordAttempt(), State: state})
	}
	t.LogDecision(core.Decision{Component: "entry", Choice: "refuse", Reason: f.Error(), Request: r.ID, Attempt: r.placement.Attempt.Number, Account: r.account.ID, Pool: r.pool})
	if f.RetryAfter > 0 && !r.Deadline.IsZero() {
		f.RetryAfter = min(f.RetryAfter, time.Duration(maxRetryWaitRatio*float64(max(0, r.Deadline.Sub(t.Now)))))
	}
	t.Emit(core.RefuseRequest{Request: r.ID, Failure: f})
	c.remove(t, r)
}

// maxRetryWaitRatio is the part of the time that a caller has left for which it is asked to wait at most before it tries again,
// so that the next attempt has time to be served. A caller does not come back if that is more than a third of its time when it
// hears of it.
const maxRetryWaitRatio = 0.3

func (c *component) finish(t *core.Turn, r *request) {
	c.recordDuration(r, t.Now)
	c.retryBucketOf(r.pool).earn(c.retryPolicy, c.maxEntryHosts)
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "finish", Reason: "the response is complete", Request: r.ID, Attempt: r.placement.Attempt.Number,
		Account: r.account.ID, Pool: r.pool, OutputTokens: r.relayedTokens, Status: r.status, Target: string(r.grant.Decode),
	})
	t.Emit(core.FinishRequest{Request: r.ID})
	c.remove(t, r)
}

// remove drops a request and refunds the quota that it did not use.
func (c *component) remove(t *core.Turn, r *request) {
	delete(c.requests, r.ID)
	c.timers.Remove(r)
	if refund := r.cost - r.usedTokens(); r.charged && refund > 0 {
		t.Post(core.RefundQuota{Account: r.account.ID, Amount: refund})
	}
	c.checkDrained(t)
}

func (c *component) checkDrained(t *core.Turn) {
	if c.draining && !c.drained && len(c.requests) == 0 {
		c.drained = true
		t.Post(core.Drained{})
		t.Emit(core.Drained{})
	}
}

func (c *component) gauges(set func(string, int64)) {
	set("requests", int64(len(c.requests)))
	set("donesOpen", int64(len(c.releases)+len(c.rejections)))
}
