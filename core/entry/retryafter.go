package entry

import (
	"maps"
	"time"

	"oleanderlever/core"
)

// maxRetryAfterUpstreams limits the upstreams that are tracked because they want no request for a time.
const maxRetryAfterUpstreams = 4096

// statedWait is the time until which an incarnation of an upstream wants no request; zero means that the incarnation is not
// known.
type statedWait struct {
	incarnation uint64
	until       time.Time
}

// recordRetryAfter records that an incarnation of an upstream wants no request from this host for a time.
func (c *component) recordRetryAfter(t *core.Turn, s *core.UpstreamStatement, incarnation uint64) {
	if s.RetryAfter == 0 {
		return
	}
	maps.DeleteFunc(c.retryAfter, func(_ core.UpstreamID, w statedWait) bool { return !t.Now.Before(w.until) })
	known, ok := c.retryAfter[s.Upstream]
	stated := statedWait{incarnation: incarnation, until: s.ReadAt.Add(s.RetryAfter)}
	switch {
	case !ok && len(c.retryAfter) >= maxRetryAfterUpstreams, incarnation < known.incarnation:
	case incarnation > known.incarnation, stated.until.After(known.until):
		c.retryAfter[s.Upstream] = stated
	}
}

// retryAfterUntil returns the time until which an upstream of a grant wants no request, or the zero time. A later incarnation
// than the one that said so has said nothing.
func (c *component) retryAfterUntil(to departure) time.Time {
	w := c.retryAfter[to.id]
	if w.incarnation != 0 && to.incarnation > w.incarnation {
		return time.Time{}
	}
	return w.until
}
