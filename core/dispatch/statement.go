package dispatch

import (
	"time"

	"oleanderlever/core"
)

// malformedLogInterval is the shortest time between two log lines on malformed statements of one upstream.
const malformedLogInterval = 10 * time.Second

// upstreamStated applies what an upstream said of itself in a response to this host. How long it wants no request is in the
// release of the attempt that it refused.
func (c *component) upstreamStated(t *core.Turn, e core.UpstreamStated) {
	u := c.findUpstream(e.Pool, e.Statement.Upstream)
	if e.Statement.Malformed {
		c.logMalformed(t, e, u)
	}
	if e.Statement.Leaving {
		c.leavingStated(t, e, u)
	}
	if e.Statement.HasRateLimit {
		c.limitStated(t, e, u)
	}
	if e.Statement.ColdStated {
		c.coldStated(t, e, u)
	}
}

// logMalformed logs a statement that can't be read; what the upstream said before stays in force.
func (c *component) logMalformed(t *core.Turn, e core.UpstreamStated, u *upstream) {
	if u == nil || (!u.malformedLoggedAt.IsZero() && t.Now.Sub(u.malformedLoggedAt) < malformedLogInterval) {
		return
	}
	u.malformedLoggedAt = t.Now
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "malformed", Reason: "a value that the upstream sent can't be read; the last one stays in force",
		Pool: e.Pool, Target: string(u.ID),
	})
}
