package entry

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// A host has no configuration for the first few hundred milliseconds. Meanwhile, requests to routes wait for it (model
// requests do not). If they were refused, callers would use up their retries after a restart of all hosts.
const (
	// A request waits at most maxConfigWait, and at most maxConfigWaitRatio of the time until its deadline, so that a
	// refused caller can still retry.
	maxConfigWait      = 600 * time.Millisecond
	maxConfigWaitRatio = 0.3
	// startupPeriod is the time after the start in which requests wait for a configuration; later they are refused.
	startupPeriod = 3 * time.Second
)

// shouldAwaitConfig reports whether a request that arrives now should wait for the host's first configuration.
func (c *component) shouldAwaitConfig(now time.Time) bool {
	return !c.hasValidConfig(now) && now.Sub(c.startedAt) < startupPeriod && !c.draining && !c.lameDuck
}

// hasValidConfig reports whether the host has a configuration whose lease is valid.
func (c *component) hasValidConfig(now time.Time) bool {
	return c.config.Version > 0 && now.Before(c.leaseExpires)
}

// awaitConfig holds a request until the host has a valid configuration or the request's wait is over.
func (c *component) awaitConfig(t *core.Turn, r *core.Request) {
	rq := &request{Request: *r, arrivedAt: t.Now, heapIndex: -1, stage: stageConfig}
	wait := min(maxConfigWait, time.Duration(maxConfigWaitRatio*float64(r.Deadline.Sub(t.Now))))
	rq.dueAt = t.Now.Add(max(0, wait))
	c.requests[r.ID] = rq
	c.timers.Fix(rq)
	c.awaitingConfig = append(c.awaitingConfig, r.ID)
}

// resumeAwaitingConfig starts the requests that waited for a configuration, in order of arrival.
func (c *component) resumeAwaitingConfig(t *core.Turn) {
	if !c.hasValidConfig(t.Now) {
		return
	}
	waiting := c.awaitingConfig
	c.awaitingConfig = nil
	for _, id := range waiting {
		r := c.requests[id]
		delete(c.requests, id)
		c.timers.Remove(r)
		c.start(t, r.Request, r.arrivedAt)
	}
}

// refuseAwaitingConfig refuses a request that waits for a configuration.
func (c *component) refuseAwaitingConfig(t *core.Turn, r *request, f *core.Failure) {
	c.awaitingConfig = slices.DeleteFunc(c.awaitingConfig, func(id core.RequestID) bool { return id == r.ID })
	c.refuse(t, r, f)
}
