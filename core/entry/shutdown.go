package entry

import (
	"time"

	"oleanderlever/core"
)

// shutdown holds the times of a host that is shutting down. Without an end, requests have no limit but their own.
type shutdown struct {
	// endsAt is when the host ends at the latest.
	endsAt time.Time
	// longUntil is when the host stops accepting requests that may not be complete at endsAt, and starting those of which
	// it is not known how long they take.
	longUntil time.Time
}

// shutDown sets the end of the host and when it stops accepting long requests, at the latest halfway to its end; zero
// times change nothing. Both only move to earlier times.
func (c *component) shutDown(now, endsAt, longUntil time.Time) {
	s := &c.shutdown
	s.endsAt = core.Earlier(s.endsAt, endsAt)
	if s.endsAt.IsZero() {
		return
	}
	halfway := now.Add(s.endsAt.Sub(now) / 2)
	s.longUntil = core.Earlier(core.Earlier(s.longUntil, longUntil), halfway)
	for _, r := range c.requests {
		if r.stage == stageConfig {
			r.dueAt = core.Earlier(r.dueAt, s.endsAt)
			c.timers.Fix(r)
			continue
		}
		c.schedule(r)
	}
}

// accepts reports whether a host that may be shutting down accepts a request. One that may take longer than the host
// has left is accepted only while callers may not have noticed, and if requests of its pool usually end in time: a
// caller whose request is refused can use another host at once, whereas one whose request is cut does not know whether it
// was executed.
func (c *component) accepts(r *request, now time.Time) bool {
	end := c.shutdown.endsAt
	return end.IsZero() || now.Before(r.lastSafeStart(end)) ||
		(now.Before(c.shutdown.longUntil) && now.Before(c.latestStart(r)))
}

// latestStart returns until when a waiting request may be sent to an upstream; zero means that only its deadline limits
// it. A request that started later could be cut when the host ends, whereas its caller can send it to another host once
// it is refused.
func (c *component) latestStart(r *request) time.Time {
	end := c.shutdown.endsAt
	if end.IsZero() || r.mayHaveRun {
		// After an attempt, the request cannot be refused as not executed; it continues while there is time.
		return end
	}
	limit := c.shutdown.longUntil
	if expected, ok := c.durations[r.pool].expected(); ok {
		limit = end.Add(-expected)
	}
	return later(limit, r.lastSafeStart(end))
}

// lastSafeStart returns until when the request can be started so that it has its response at end, however long its
// upstream takes; zero means that there is no such time.
func (r *request) lastSafeStart(end time.Time) time.Time {
	switch {
	case r.route.EndToEndTimeout && !r.Deadline.After(end):
		return end
	case r.unary && !r.route.EndToEndTimeout:
		return end.Add(-r.route.Timeout)
	}
	return time.Time{}
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

// stopRunning ends a request whose deadline has passed or whose host ends while an attempt runs or its outcome is
// recorded. Its caller learns that the outcome is unknown; a response that is complete is delivered.
func (c *component) stopRunning(t *core.Turn, r *request) {
	switch {
	case r.stage == stageRecord:
		c.finish(t, r)
	case r.route.EndToEndTimeout && core.Due(r.Deadline, t.Now):
		c.recordDuration(r, t.Now)
		c.abort(t, r, core.Fail(core.KindDeadlineExceeded, "the deadline passed before the response was complete"))
	default:
		c.abort(t, r, core.Fail(core.KindOutcomeUnknown, "the host ends before the response is complete"))
	}
}
