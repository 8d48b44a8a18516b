package entry

import (
	"time"

	"oleanderlever/core"
)

// stage is a request's position in its life cycle. The order matters, since stages are compared.
type stage uint8

const (
	// stageConfig requests wait for the host's first configuration.
	stageConfig stage = iota
	// stageOrigin requests continue a stream, and wait for the software version that began it.
	stageOrigin
	stageQuota
	stageIdempotency
	stagePlacement
	stagePrefill
	stageDecode
	stageCall
	stageRecord
)

const (
	defaultMaxAttempts = 4
	// maxReconnects limits how often an attempt's stream is reconnected to the same engine.
	maxReconnects     = 2
	maxPrefillTimeout = 10 * time.Second
	// A prefill times out after prefillTimeoutFactor times its expected duration plus prefillTimeoutMargin.
	prefillTimeoutFactor = 3
	prefillTimeoutMargin = 150 * time.Millisecond
	// minPrefillTimeout applies to requests by model name, where a prefill that times out must be repeated on another
	// engine. It is longer than the dispatcher's target for the first token (firstTokenTarget), which is already missed
	// when the prefill is repeated.
	minPrefillTimeout = time.Second
	// defaultTokenTimeout is the longest wait for the next token of a stream that can be retried elsewhere.
	defaultTokenTimeout = 2 * time.Second
	// placementResendInterval is the time between placement requests to a dispatcher until it grants or refuses the
	// placement.
	placementResendInterval = 300 * time.Millisecond
	// dispatcherTimeout is the time for a dispatcher's first response to a placement request. A dispatcher that takes
	// longer gets no requests for dispatcherBackoff.
	dispatcherTimeout = 100 * time.Millisecond
	dispatcherBackoff = time.Second
	// isolationThreshold is the number of avoided dispatchers from which this host assumes that it is isolated.
	isolationThreshold = 2
	// noUpstreamGracePeriod is how long after a request's arrival its placement is requested again although the
	// dispatcher knows no upstream: a new dispatcher learns of upstreams only from their next announcements, and an
	// isolated one receives none.
	noUpstreamGracePeriod = 6 * time.Second
)

// request is the state of a caller's request.
type request struct {
	core.Request
	admission
	urgency
	stage     stage
	recordKey core.IdempotencyKey
	// charged is true if the cost was taken from the account's quota, and also for unlimited accounts, which are
	// charged nothing.
	charged bool
	// otherDispatchers are hosts that took over the pool during the attempt and have its claim.
	otherDispatchers []core.HostID
	// placement is the attempt's placement request, grant the dispatcher's response to it.
	placement  core.PlacementRequest
	grant      core.PlacementGrant
	dispatcher dispatcherID
	resendAt   time.Time
	// placementDeadline is when the attempt's wait for its placement ends, at whatever dispatcher.
	placementDeadline time.Time
	// queued is true if the dispatcher has queued the last placement request. placedWhileIsolated is true if the local
	// dispatcher places the attempt because this host is isolated.
	queued              bool
	placedWhileIsolated bool
	// kv is the KV cache of the last prefill until a decode is sent, or nil; withKV is true once the attempt's decode was sent
	// with one. prefillCount counts the prefills of all attempts.
	kv           *kvCache
	withKV       bool
	prefillCount int
	// sentKV is the KV cache that was sent with the last decode; unreachable counts the upstreams that could not be reached.
	sentKV      kvCache
	unreachable int
	// unsentAttempts is the number of attempts that were given up before a decode or call reached an upstream.
	unsentAttempts int
	// nextWithoutPrefill is true if the next attempt needs no prefill engine.
	nextWithoutPrefill bool
	// relayedTokens is the number of tokens sent to the caller; enginePromptTokens is the prompt length that the engine
	// reported.
	relayedTokens core.Tokens
	// version is the software version that began the response, if hasVersion is set. announced is true once other hosts were told.
	version            core.SoftwareVersion
	hasVersion         bool
	announced          bool
	enginePromptTokens core.Tokens
	reconnectCount     int
	// crashes counts the attempts whose upstream crashed when it began to execute the request, which fingerprint identifies.
	crashes     int
	fingerprint uint64
	arrivedAt   time.Time
	// startedAt is when the first attempt was started.
	startedAt time.Time
	// decodeStartedAt is when the attempt's decode started; firstTokenLatency is the time from then to its first token.
	decodeStartedAt time.Time
	// callStartedAt is when the attempt's call was sent to a plain service.
	callStartedAt     time.Time
	firstTokenLatency time.Duration
	avoid             []core.UpstreamID
	// rejectedGrants counts the placements that were rejected and asked for again at the same dispatcher.
	rejectedGrants int
	disconnected   bool
	// dueAt is when the request's timer fires; heapIndex is its index in the timer heap.
	dueAt     time.Time
	heapIndex int
	// status is the HTTP status of a unary response.
	status int
	// mayHaveRun is true once an attempt may have been executed, in whole or in part.
	mayHaveRun bool
}

// dispatcherID identifies a dispatcher by host and boot, since a restarted dispatcher has lost its reservations.
type dispatcherID struct {
	host core.HostID
	boot uint64
}

func (r *request) attemptID() core.AttemptID { return r.placement.Attempt }

// recordAttempt returns the attempt ID in the idempotency record, the same for all attempts of the request.
func (r *request) recordAttempt() core.AttemptID { return core.AttemptID{Request: r.ID, Number: 1} }

// newAttempt resets the state of the previous attempt and builds the placement request of the next one.
func (r *request) newAttempt(now time.Time, boot uint64, dispatched bool) {
	r.placement = core.PlacementRequest{
		Attempt: core.AttemptID{Request: r.ID, Number: r.placement.Attempt.Number + 1},
		Boot:    boot,
		Account: r.account.ID, Pool: r.pool, Weight: max(1, r.account.Weight),
		PromptTokens: r.PromptTokens + r.relayedTokens, OutputTokens: r.remainingOutput(), PrefixHashes: r.PrefixHashes,
		PlainService: r.plainService, Repeatable: r.retryable(), Avoid: r.avoid, Remaining: r.maxPlacementWait(now, dispatched), Urgent: r.relayedTokens > 0 || r.Origin != "",
		WithoutPrefill: r.nextWithoutPrefill || r.kv != nil, Prefilled: r.kv != nil,
		FixedVersion: r.hasVersion, SoftwareVersion: r.version,
		Regions: r.regions, Priority: r.priority, Target: r.route.LatencyTarget,
	}
	if patience := r.patience(); patience > 0 {
		r.placement.Patience = patience
	}
	r.nextWithoutPrefill = false
	r.placementDeadline = now.Add(r.placement.Remaining)
	r.grant = core.PlacementGrant{}
	r.otherDispatchers = nil
	r.reconnectCount = 0
	r.withKV = false
	r.firstTokenLatency = 0
}

// isWaiting reports whether a request waits for what it needs before it can be sent to an upstream. One that waits for its idempotency
// key is decided on once that is acquired.
func (r *request) isWaiting() bool {
	return r.stage == stageOrigin || r.stage == stageQuota || r.stage == stagePlacement
}

// isRunning reports whether an attempt is at an upstream.
func (r *request) isRunning() bool {
	return r.stage == stagePrefill || r.stage == stageDecode || r.stage == stageCall
}

func (r *request) claim() core.PlacementClaim {
	return core.PlacementClaim{Request: r.placement, Grant: r.grant, Decoding: r.stage == stageDecode}
}

// grantedIncarnation returns the incarnation of an upstream to which an attempt was sent, or zero if it is not known.
func (r *request) grantedIncarnation(a core.AttemptID, id core.UpstreamID) uint64 {
	switch {
	case a != r.grant.Attempt:
		return 0
	case id == r.grant.Decode:
		return r.grant.DecodeIncarnation
	case id == r.grant.Prefill:
		return r.grant.PrefillIncarnation
	}
	return 0
}

// remainingOutput returns the tokens of engine memory to reserve for the rest of the response. A caller's estimate is
// used without a margin: its errors balance out over the several responses that an engine holds.
func (r *request) remainingOutput() core.Tokens {
	remaining := r.outputLimit - r.relayedTokens
	if r.route.Streaming && r.ExpectedTokens > 0 {
		remaining = min(remaining, r.ExpectedTokens)
	}
	return max(0, remaining)
}

// maxQuotaWait returns how long the request may wait for quota; zero means the default. A stream leaves half of its
// latency target to the engines. A call without quota is refused after its target, while its caller can still retry.
func (r *request) maxQuotaWait() time.Duration {
	if r.route.Streaming {
		return r.route.LatencyTarget / 2
	}
	return r.route.LatencyTarget
}

// countedAttempts returns the number of attempts that count against the maximum.
func (r *request) countedAttempts() int { return r.placement.Attempt.Number - r.unsentAttempts }

// maxAttempts returns the maximum number of attempts of the request.
func (r *request) maxAttempts() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultMaxAttempts
}

// retryable reports whether the request may be executed more than once.
func (r *request) retryable() bool {
	if r.route.Streaming {
		return r.route.Resumable
	}
	return !r.unary || r.route.Idempotent
}

// mayRetry reports whether another attempt may follow one that failed with f.
func (r *request) mayRetry(f *core.Failure) bool {
	if r.disconnected || r.countedAttempts() >= r.maxAttempts() || f.Kind == core.KindBadRequest || f.Kind == core.KindCancelled {
		return false
	}
	if r.retryable() {
		return true
	}
	return f.NotExecuted && (r.recordKey != "" || r.route.MaxAttempts > 1)
}

// maxUnreachable is how many upstreams that could not be reached a request tries beyond its attempts: with a few of them silent, one
// of the next two is usually not.
const maxUnreachable = 2

// mayTryElsewhere reports whether a request goes to another upstream because the last one could not be reached. It costs no retry
// and does not count against the maximum, since no upstream got the request.
func (r *request) mayTryElsewhere(f *core.Failure) bool {
	return f.Kind == core.KindUnreachable && !r.disconnected && r.unreachable < maxUnreachable
}

// usedTokens returns the tokens that a finished request is charged for.
func (r *request) usedTokens() core.Tokens {
	switch {
	case !r.mayHaveRun:
		return 0
	case r.route.Name != "":
		return r.cost
	}
	return min(r.cost, max(r.enginePromptTokens, r.PromptTokens)+r.relayedTokens)
}

// callTimeout returns the timeout of a unary call to an upstream.
func (r *request) callTimeout(now time.Time) time.Duration {
	if r.route.EndToEndTimeout {
		return max(0, r.Deadline.Sub(now))
	}
	return r.route.Timeout
}

// callTime returns the time from sending a call to its response, which has arrived now, or zero if the upstream has failed.
func (r *request) callTime(now time.Time) time.Duration {
	if r.status >= minFailureStatus {
		return 0
	}
	return now.Sub(r.callStartedAt)
}

// prefillTimeout returns the timeout of the attempt's prefill, since an engine may accept a prompt and never respond.
// It is shortest on streaming routes, where the decode engine can process the prompt instead.
func (r *request) prefillTimeout() time.Duration {
	if r.grant.ExpectedPrefill == 0 {
		return maxPrefillTimeout
	}
	wait := min(maxPrefillTimeout, prefillTimeoutFactor*r.grant.ExpectedPrefill+prefillTimeoutMargin)
	if !r.route.Streaming {
		wait = max(wait, minPrefillTimeout)
	}
	return wait
}

// tokenTimeout returns the longest wait for a stream's next token. A stream that can't be retried elsewhere may wait
// until its deadline.
func (r *request) tokenTimeout(now time.Time) time.Duration {
	if r.retryable() {
		return defaultTokenTimeout
	}
	return max(0, r.Deadline.Sub(now))
}

// retryBucket limits retries to a ratio of the completed requests, so that retries can't amplify an overload.
type retryBucket struct{ credit float64 }

func (b *retryBucket) earn(policy core.RetryBudget, hosts int) {
	b.credit = min(maxRetryCredit(policy, hosts), b.credit+policy.Ratio)
}

// spend takes one retry from the bucket and reports whether there was one. It first caps the credit, since a host that
// has just learned of others may hold more than its share of the burst.
func (b *retryBucket) spend(policy core.RetryBudget, hosts int) bool {
	b.credit = min(b.credit, maxRetryCredit(policy, hosts))
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// maxRetryCredit returns the maximum retry credit of one host.
func maxRetryCredit(policy core.RetryBudget, hosts int) float64 {
	if policy.Shared {
		return policy.Burst / float64(max(1, hosts))
	}
	return policy.Burst
}
