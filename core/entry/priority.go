package entry

import (
	"time"

	"oleanderlever/core"
)

const (
	// minReturnTime is how much shorter than its route's timeout a caller's remaining time is at least if it was refused
	// before. Less may be the time that the request took to arrive.
	minReturnTime = 300 * time.Millisecond
	// maxReturnRatio is the part of the route's timeout that a caller which was refused before has used at most: it waits a
	// third of its time after a refusal. One with less time left has a deadline of its own.
	maxReturnRatio = 0.5
	// maxReturnShare is the largest part of a route's requests that can be of returning callers, since each comes back once. If
	// more have less time left than the route's timeout, callers set deadlines of their own. shortDeadlineWeight is the weight of
	// the newest request in that part.
	maxReturnShare      = 0.5
	shortDeadlineWeight = 1.0 / 32
	// Callers abandon a stream without an event after the longest of minPatience, targetPatience times the latency target
	// and gapPatience times the target for the pause between two events.
	minPatience    = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// placementWaitRatio is the part of its patience that a request may wait for its placement; the rest is left to the
	// upstream. A late response is worth less than one in time but more than none.
	placementWaitRatio = 0.85
)

// urgency is what the configuration and the caller say about how soon a request must be served.
type urgency struct {
	priority core.Priority
	// upstreamPriority is the priority that upstreams are told. It is unset if all requests of the pool had the same priority
	// when this one was admitted, and does not change with the configuration.
	upstreamPriority core.Priority
	// returning is true if the caller was refused before, here or by another host, and has used waitedBefore since its first
	// attempt.
	returning    bool
	waitedBefore time.Duration
}

// urgencyOf determines the urgency of an admitted request.
func (c *component) urgencyOf(r *request) urgency {
	u := urgency{priority: core.RequestPriority(&r.route, &r.account)}
	if c.hasPriorities(r.pool) {
		u.upstreamPriority = u.priority
	}
	if !r.route.EndToEndTimeout || !r.HasDeadline {
		return u
	}
	used := r.route.Timeout - r.Deadline.Sub(r.arrivedAt)
	short := used >= minReturnTime
	u.returning = c.mayReturn(r.route.Name, short) && short
	if u.returning && float64(used) <= maxReturnRatio*float64(r.route.Timeout) {
		u.waitedBefore = used
	}
	return u
}

// mayReturn counts a request of a route, which has a short deadline or not, and reports whether short deadlines are rare enough
// to be those of returning callers.
func (c *component) mayReturn(route string, short bool) bool {
	share := c.shortDeadlines[route]
	sample := 0.0
	if short {
		sample = 1
	}
	c.shortDeadlines[route] = share + shortDeadlineWeight*(sample-share)
	return share <= maxReturnShare
}

// hasPriorities reports whether requests of a pool have different priorities in the active configuration.
func (c *component) hasPriorities(pool core.PoolID) bool {
	differ, ok := c.priorityPools[pool]
	if !ok {
		most, least := c.config.PriorityRange(pool)
		differ = most != least
		c.priorityPools[pool] = differ
	}
	return differ
}

// patience returns how long after its arrival the caller can use the response or its first event, or zero if the route has
// no latency target.
func (r *request) patience() time.Duration {
	remaining := max(0, r.Deadline.Sub(r.arrivedAt))
	switch {
	case r.route.LatencyTarget == 0:
		return 0
	case r.route.Streaming:
		return min(remaining, max(minPatience, targetPatience*r.route.LatencyTarget, gapPatience*r.route.EventGapTarget))
	}
	return remaining
}

// maxPlacementWait returns how long the attempt may wait for its placement. dispatched is true if the dispatcher of the pool
// places it, which knows when that will be. A call that waits for this host's own placement, which knows less, is refused
// after its target, while its caller can still retry at another host.
func (r *request) maxPlacementWait(now time.Time, dispatched bool) time.Duration {
	remaining := max(0, r.Deadline.Sub(now))
	if r.route.LatencyTarget == 0 {
		return remaining
	}
	wait := time.Duration(placementWaitRatio * float64(r.patience()))
	if !r.route.Streaming && !dispatched {
		wait = r.route.LatencyTarget
	}
	start := r.arrivedAt
	if r.relayedTokens > 0 {
		// The caller has a part of the response; its wait for the next event begins now.
		start = now
	}
	return min(remaining, max(0, start.Add(wait).Sub(now)))
}
