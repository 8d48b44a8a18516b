package entry

import (
	"maps"
	"time"

	"oleanderlever/core"
)

const (
	// maxColdUpstreams limits the cold upstreams that are tracked.
	maxColdUpstreams = 4096
	// coldTolerance is how much earlier than for this host a cold time may end for the dispatcher, which heard of it in another
	// message.
	coldTolerance = 250 * time.Millisecond
)

// coldUpstream is an incarnation of an upstream that has said until when it is cold.
type coldUpstream struct {
	incarnation uint64
	until       time.Time
}

func (c *component) upstreamCold(now time.Time, e core.UpstreamCold) {
	maps.DeleteFunc(c.cold, func(id core.UpstreamID, u coldUpstream) bool {
		return !now.Before(u.until) || (id == e.ID && e.Incarnation >= u.incarnation)
	})
	if _, later := c.cold[e.ID]; !later && now.Before(e.Until) && len(c.cold) < maxColdUpstreams {
		c.cold[e.ID] = coldUpstream{incarnation: e.Incarnation, until: e.Until}
	}
}

// isCold reports whether an upstream of a grant is known to be cold for a time. A later incarnation than the one that said so is
// not, and an earlier one has ended, so that the request would reach the cold one.
func (c *component) isCold(now time.Time, r *request, to departure) bool {
	known := c.cold[to.id]
	pool, ok := c.config.Pool(r.pool)
	return ok && pool.ColdRate > 0 && known.until.Sub(now) > coldTolerance && to.incarnation <= known.incarnation
}

// coldFailure returns why a request must not be sent to a cold upstream now, or nil. The dispatcher must have counted it against
// the cold rate. A request that is sent long after its grant, since this host or the dispatcher was frozen or a message late,
// would reach the upstream together with those of another time.
func (c *component) coldFailure(now time.Time, r *request, to departure) *core.Failure {
	age := now.Sub(r.arrivedAt.Add(r.grant.Waited))
	switch {
	case to.counted && to.first && age > core.ColdGrantLife:
		return core.Fail(core.KindOverloaded, "the placement at cold upstream %s may be %v old", to.id, age)
	case (!to.counted || to.resumed) && c.isCold(now, r, to):
		return core.Fail(core.KindOverloaded, "upstream %s is cold and the request is not counted", to.id)
	}
	return nil
}
