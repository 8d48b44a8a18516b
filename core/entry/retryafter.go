package entry

import (
	"maps"
	"time"

	"oleanderlever/core"
)

// maxRetryAfterUpstreams limits the upstreams that are tracked because they want no request for a time.
const maxRetryAfterUpstreams = 4096

// recordRetryAfter records that an upstream wants no request from this host for a time.
func (c *component) recordRetryAfter(t *core.Turn, s *core.UpstreamStatement) {
	if s.RetryAfter == 0 {
		return
	}
	maps.DeleteFunc(c.retryAfter, func(_ core.UpstreamID, until time.Time) bool { return !t.Now.Before(until) })
	until := s.ReadAt.Add(s.RetryAfter)
	if len(c.retryAfter) < maxRetryAfterUpstreams && until.After(c.retryAfter[s.Upstream]) {
		c.retryAfter[s.Upstream] = until
	}
}

// retryAfterFailure returns the failure of an attempt that needs an upstream which wants no request from this host now, or nil.
func (c *component) retryAfterFailure(now time.Time, needed ...core.UpstreamID) *core.Failure {
	for _, id := range needed {
		if until, ok := c.retryAfter[id]; ok && now.Before(until) {
			return core.Fail(core.KindOverloaded, "upstream %s wants no request for %v", id, until.Sub(now))
		}
	}
	return nil
}

// maxRejectedGrants is how many placements at upstreams that want no request an attempt rejects before it is refused.
const maxRejectedGrants = 2

// rejectTooEarly releases a placement at an upstream that wants no request from this host, of which the dispatcher has not heard
// yet, and asks for another one.
func (c *component) rejectTooEarly(t *core.Turn, r *request, from core.HostID, m core.PlacementGrant, f *core.Failure) {
	t.LogDecision(core.Decision{Component: "entry", Choice: "retryAfter", Reason: f.Message, Request: r.ID, Attempt: m.Attempt.Number, Pool: r.pool, Target: string(m.Prefill + ">" + m.Decode)})
	for _, id := range []core.UpstreamID{m.Prefill, m.Decode} {
		if c.retryAfterFailure(t.Now, id) != nil {
			r.avoid = append(r.avoid, id)
		}
	}
	r.rejectedGrants++
	c.rejectGrant(t, from, m)
	if r.rejectedGrants > maxRejectedGrants {
		f.NotExecuted = !r.mayHaveRun
		c.refuse(t, r, f)
		return
	}
	r.placement.Avoid = r.avoid
	c.sendPlacementRequest(t, r)
}
