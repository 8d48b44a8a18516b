package entry

import (
	"time"

	"oleanderlever/core"
)

// shutdown holds the times of a host that is shutting down. Without an end, requests have no limit but their own.
type shutdown struct {
	// endsAt is when the host ends at the latest.
	endsAt time.Time
	// longUntil is when the host stops starting requests that may not be complete at endsAt.
	longUntil time.Time
}

// shutDown sets the end of the host and when it stops starting long requests; zero times change nothing. The end only
// moves to an earlier time.
func (c *component) shutDown(endsAt, longUntil time.Time) {
	c.shutdown.endsAt = core.Earlier(c.shutdown.endsAt, endsAt)
	c.shutdown.longUntil = core.Earlier(c.shutdown.longUntil, longUntil)
	if c.shutdown.endsAt.IsZero() {
		return
	}
	for _, r := range c.requests {
		if r.stage == stageConfig {
			r.dueAt = core.Earlier(r.dueAt, c.shutdown.endsAt)
			c.timers.Fix(r)
			continue
		}
		c.schedule(r)
	}
}

// latestStart returns until when a waiting request may be sent to an upstream; zero means that only its deadline limits
// it. A request that started later could be cut when the host ends, whereas its caller can send it to another host once
// it is refused.
func (c *component) latestStart(r *request) time.Time {
	end := c.shutdown.endsAt
	switch {
	case end.IsZero(), r.mayHaveRun:
		// After an attempt, the request cannot be refused as not executed; it continues while there is time.
		return end
	case r.route.EndToEndTimeout && !r.Deadline.IsZero() && !r.Deadline.After(end):
		return end
	case r.unary && !r.route.EndToEndTimeout && r.route.Timeout > 0:
		return later(c.shutdown.longUntil, end.Add(-r.route.Timeout))
	}
	return core.Earlier(c.shutdown.longUntil, end)
}

// midpoint returns the time halfway between now and end, or zero without an end. A host that was not a lame duck before
// starts long requests until then.
func midpoint(now, end time.Time) time.Time {
	if end.IsZero() {
		return time.Time{}
	}
	return now.Add(end.Sub(now) / 2)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refuseTooLate refuses a waiting request that would start after its latest start.
func (c *component) refuseTooLate(t *core.Turn, r *request) {
	f := core.Fail(core.KindNotReady, "the host is shutting down and the request has not started")
	f.NotExecuted = !r.mayHaveRun
	c.cancelWaiting(t, r, f)
}
