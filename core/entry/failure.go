package entry

import (
	"maps"
	"slices"

	"oleanderlever/core"
)

// minFailureStatus is the lowest HTTP status for which a retryable call is retried.
const minFailureStatus = 500

// attemptFailed retries a failed attempt if the request, its deadline and the retry budget permit it; otherwise it
// releases the attempt's placement and refuses the request.
func (c *component) attemptFailed(t *core.Turn, r *request, f *core.Failure, failed core.UpstreamID) {
	r.mayHaveRun = r.mayHaveRun || !f.NotExecuted
	pastDeadline := r.route.EndToEndTimeout && !f.NotExecuted && core.Due(r.Deadline, t.Now)
	if pastDeadline {
		f = core.Fail(core.KindDeadlineExceeded, "the deadline passed before the response was complete: %s", f.Message)
	}
	if !pastDeadline && c.retry(t, r, f, failed) {
		return
	}
	c.sendRelease(t, r, r.releaseAfterFailure(f, failed))
	out := *f
	if r.unary && !r.route.Idempotent && !f.NotExecuted && !pastDeadline {
		out.Kind = core.KindOutcomeUnknown
	}
	out.NotExecuted = !r.mayHaveRun
	// How long one upstream wants no request does not tell the caller when the pool can serve it.
	out.RetryAfter = 0
	c.refuse(t, r, &out)
}

func failedResponse(response *core.StoredResponse) *core.Failure {
	return core.Fail(core.KindUpstreamFailed, "the upstream responded with status %d", response.Status)
}

// blamedUpstream returns the upstream that a failure counts against, or an empty ID if it is not an upstream's fault.
func blamedUpstream(f *core.Failure, failed core.UpstreamID) core.UpstreamID {
	switch f.Kind {
	case core.KindBadRequest, core.KindUpstreamRefused, core.KindCancelled:
		return ""
	}
	return failed
}

// releaseAfterFailure returns the release for the placement of a failed attempt.
func (r *request) releaseAfterFailure(f *core.Failure, failed core.UpstreamID) core.PlacementRelease {
	release := core.PlacementRelease{Cancel: !f.NotExecuted, FailedUpstream: blamedUpstream(f, failed), Misdirected: f.Kind == core.KindMisdirected}
	if f.Kind == core.KindUpstreamRefused {
		release.RefusedBy, release.RetryAfter = failed, f.RetryAfter
		release.WithKV = failed == r.grant.Decode && r.withKV
	}
	return release
}

// retry starts another attempt after a failed one and reports whether it did: the request must permit it and the retry
// budget must not be exhausted.
func (c *component) retry(t *core.Turn, r *request, f *core.Failure, failed core.UpstreamID) bool {
	if r.crashes >= maxCrashes || c.quarantineFailure(r) != nil {
		return false
	}
	if r.mayTryElsewhere(f) {
		r.unreachable++
		r.unsentAttempts++
		c.startNextAttempt(t, r, f, failed)
		return true
	}
	allowed := r.mayRetry(f) || (c.unsafeRetries && r.countedAttempts() < defaultMaxAttempts)
	if !allowed || !c.retryBucketOf(r.pool).spend(c.retryPolicy, c.maxEntryHosts) {
		return false
	}
	c.startNextAttempt(t, r, f, failed)
	return true
}

// startNextAttempt starts another attempt after one that failed at an upstream, which it avoids.
func (c *component) startNextAttempt(t *core.Turn, r *request, f *core.Failure, failed core.UpstreamID) {
	c.sendRelease(t, r, r.releaseAfterFailure(f, failed))
	r.avoid = append(r.avoid, failed)
	t.LogDecision(core.Decision{Component: "entry", Choice: "retry", Reason: f.Message, Request: r.ID, Attempt: r.placement.Attempt.Number, Pool: r.pool, Target: string(failed)})
	c.startAttempt(t, r)
}

// retryBucketOf returns the retry bucket of a pool and creates it, full, if there is none.
func (c *component) retryBucketOf(pool core.PoolID) *retryBucket {
	b := c.retryBuckets[pool]
	if b == nil {
		b = &retryBucket{credit: maxRetryCredit(c.retryPolicy, c.maxEntryHosts)}
		c.retryBuckets[pool] = b
	}
	return b
}

// callerDisconnected frees what the request holds. A running call is aborted if it is retryable and its route has an
// end-to-end timeout; other calls are left to finish, those that are not retryable so that their outcome can be
// recorded. A request that waits for its idempotency key is refused once the key is acquired.
func (c *component) callerDisconnected(t *core.Turn, id core.RequestID) {
	r := c.requests[id]
	if r == nil || r.disconnected {
		return
	}
	r.disconnected = true
	failure := core.Fail(core.KindCancelled, "the caller disconnected")
	switch r.stage {
	case stageConfig:
		c.refuseAwaitingConfig(t, r, failure)
	case stageOrigin, stageQuota, stagePlacement:
		c.cancelWaiting(t, r, failure)
	case stageCall:
		if r.route.EndToEndTimeout && r.retryable() {
			c.abort(t, r, failure)
		}
	case stagePrefill, stageDecode:
		c.abort(t, r, failure)
	}
}

// abort aborts the running attempt and refuses the request.
func (c *component) abort(t *core.Turn, r *request, f *core.Failure) {
	r.mayHaveRun = true
	t.Emit(core.AbortAttempt{Attempt: r.attemptID()})
	c.sendRelease(t, r, core.PlacementRelease{Cancel: true})
	c.refuse(t, r, f)
}

// refuseRevoked refuses the requests whose API key was revoked while they waited for quota or placement.
func (c *component) refuseRevoked(t *core.Turn) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.account.ID == "" || !r.isWaiting() {
			continue
		}
		if _, ok := c.config.KeyByHash(r.KeyHash); ok {
			continue
		}
		c.cancelWaiting(t, r, core.Fail(core.KindBadKey, "the API key was revoked"))
	}
}

// cancelWaiting refuses a request that waits for quota, its idempotency key or placement.
func (c *component) cancelWaiting(t *core.Turn, r *request, f *core.Failure) {
	switch r.stage {
	case stageQuota:
		t.Post(core.CancelQuota{Request: r.ID, Account: r.account.ID})
	case stagePlacement:
		c.sendRelease(t, r, core.PlacementRelease{})
	}
	c.refuse(t, r, f)
}
