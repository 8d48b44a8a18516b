package dispatch

import (
	"time"

	"oleanderlever/core"
)

// rateLimit is what an upstream has said of the requests that it takes.
type rateLimit struct {
	// rate is zero if the upstream has no limit.
	rate core.RequestRate
	// statedAt is when the upstream last said so, to the host source.
	statedAt time.Time
	source   core.HostID
}

func (c *component) upstreamStated(t *core.Turn, e core.UpstreamStated) {
	u := c.findUpstream(e.Pool, e.Statement.Upstream)
	if u == nil || e.Statement.Malformed {
		return
	}
	c.setLimit(t, u, rateLimit{rate: e.Statement.RateLimit, statedAt: t.Now, source: c.self})
}

// setLimit stores what an upstream has said, and logs it if it is new.
func (c *component) setLimit(t *core.Turn, u *upstream, l rateLimit) {
	changed := l.rate != u.limit.rate
	u.limit = l
	if !changed {
		return
	}
	reason := "the upstream limits its requests per second, according to host " + string(l.source)
	if l.rate == 0 {
		reason = "the upstream has no limit, according to host " + string(l.source)
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "limit", Reason: reason, Pool: u.Pool, Target: string(u.ID), Score: float64(l.rate),
		Age: t.Now.Sub(l.statedAt),
	})
}

// limitedCount returns the number of upstreams with a limit.
func (p *pool) limitedCount() int {
	n := 0
	for _, u := range p.upstreams {
		if u.limit.rate > 0 {
			n++
		}
	}
	return n
}
