package entry

import (
	"time"

	"oleanderlever/core"
)

// departure is an upstream that a grant names, with its data centre.
type departure struct {
	id         core.UpstreamID
	dataCentre core.DataCentre
	// isDecode is true for the upstream that sends the response, which has the software version.
	isDecode bool
	version  core.SoftwareVersion
	// incarnation is the one that the dispatcher chose, or zero if the dispatcher did not name it.
	incarnation uint64
	// resumed is true if the upstream already holds the stream that the request continues.
	resumed bool
	// counted is true if the dispatcher counted the request against the cold rate of the upstream. first is true for the first
	// request of the placement, and not for a decode that follows a prefill.
	counted bool
	first   bool
}

func prefillDeparture(m *core.PlacementGrant) departure {
	return departure{
		id: m.Prefill, dataCentre: m.PrefillDataCentre, incarnation: m.PrefillIncarnation, counted: m.PrefillCold, first: true,
	}
}

func decodeDeparture(m *core.PlacementGrant) departure {
	return departure{
		id: m.Decode, dataCentre: m.DecodeDataCentre, incarnation: m.DecodeIncarnation, counted: m.DecodeCold, first: m.Prefill == "",
		isDecode: true, version: m.DecodeVersion,
	}
}

// departureFailure returns why a request must not be sent to an upstream now, or nil. Every path calls it right before the
// request is sent, since what was true when the grant was made may have changed. A failure of kind KindNoUpstream means that
// the dispatcher should not have chosen the upstream, one of KindOverloaded that only this host knows of the reason yet.
func (c *component) departureFailure(now time.Time, r *request, to departure) *core.Failure {
	if f := c.evacuationFailure(to); f != nil {
		return f
	}
	if f := c.regionFailure(r, to); f != nil {
		return f
	}
	if f := c.versionFailure(r, to); f != nil {
		return f
	}
	if f := c.coldFailure(now, r, to); f != nil {
		return f
	}
	if to.resumed {
		// A stream that the upstream holds is no new work: an upstream that is leaving completes it, and its Retry-After is
		// about further requests.
		return nil
	}
	if c.isLeaving(to) {
		return core.Fail(core.KindNoUpstream, "upstream %s is leaving", to.id)
	}
	if until := c.retryAfterUntil(to); now.Before(until) {
		return core.Fail(core.KindOverloaded, "upstream %s wants no request for %v", to.id, until.Sub(now))
	}
	return nil
}

// maxLeavingUpstreams limits the leaving upstreams that are tracked; beyond it all are dropped. An upstream that is no
// longer tracked can at worst be granted once more, and refuses the attempt.
const maxLeavingUpstreams = 4096

// leavingUpstream is the latest incarnation of an upstream that is known to be leaving; the earlier ones have ended.
type leavingUpstream struct {
	incarnation uint64
	// replaced is true if a later incarnation accepts work.
	replaced bool
}

func (c *component) upstreamLeaving(e core.UpstreamLeaving) {
	known, ok := c.leaving[e.ID]
	switch {
	case e.Leaving && !ok && len(c.leaving) >= maxLeavingUpstreams:
		clear(c.leaving)
		fallthrough
	case e.Leaving && (!ok || e.Incarnation > known.incarnation):
		c.leaving[e.ID] = leavingUpstream{incarnation: e.Incarnation}
	case e.Leaving || !ok || e.Incarnation < known.incarnation:
	case e.Incarnation == known.incarnation:
		delete(c.leaving, e.ID)
	default:
		c.leaving[e.ID] = leavingUpstream{incarnation: known.incarnation, replaced: true}
	}
}

// isLeaving reports whether an upstream of a grant is leaving. A dispatcher that names no incarnation means the latest one.
func (c *component) isLeaving(to departure) bool {
	known, ok := c.leaving[to.id]
	if to.incarnation == 0 {
		return ok && !known.replaced
	}
	return ok && to.incarnation <= known.incarnation
}

// mayResume reports whether the attempt's stream may be resumed at its decode engine. That is a request of its own, which the
// dispatcher has not counted against a limit or the cold rate of the engine.
func (c *component) mayResume(now time.Time, r *request) bool {
	to := decodeDeparture(&r.grant)
	to.resumed, to.first = true, false
	return !r.grant.SingleRequest && c.departureFailure(now, r, to) == nil
}

// maxRejectedGrants is how many placements a request rejects before it is refused, if it asks the same dispatcher again.
const maxRejectedGrants = 2

// rejectDeparture gives up the placement of an attempt that must not be sent to an upstream of its grant, because of f, and
// asks for another one.
func (c *component) rejectDeparture(t *core.Turn, r *request, f *core.Failure) {
	m, from := r.grant, r.dispatcher.host
	evacuated := c.namesEvacuated(&m)
	if evacuated {
		c.tellVersion(t, from)
	}
	if r.stage != stagePlacement {
		c.rejectDecode(t, r, f)
		return
	}
	r.grant = core.PlacementGrant{}
	c.rejectGrant(t, from, m)
	choice := "retryAfter"
	if evacuated {
		choice = "evacuated"
	}
	if f.Kind == core.KindNoUpstream {
		choice = "goRound"
		c.backOffDispatcher(t, r, from)
	} else {
		c.avoidRefused(t, r, &m)
	}
	c.logRejection(t, r, &m, choice, f)
	if c.requestDispatcher(r).host == from && c.refuseRejected(t, r, f) {
		return
	}
	c.sendPlacementRequest(t, r)
}

// refuseRejected counts a rejected placement. It refuses the request if there were too many, and reports whether it did.
func (c *component) refuseRejected(t *core.Turn, r *request, f *core.Failure) bool {
	r.rejectedGrants++
	if r.rejectedGrants <= maxRejectedGrants {
		return false
	}
	f.NotExecuted = !r.mayHaveRun
	c.refuse(t, r, f)
	return true
}

func (c *component) logRejection(t *core.Turn, r *request, m *core.PlacementGrant, choice string, f *core.Failure) {
	t.LogDecision(core.Decision{
		Component: "entry", Choice: choice, Reason: f.Message, Request: r.ID, Attempt: m.Attempt.Number, Pool: r.pool,
		Target: string(m.Prefill + ">" + m.Decode),
	})
}

// kvCache is the KV cache of a prefill, which one decode of the same request may use until it expires.
type kvCache struct {
	ref     core.KVRef
	expires time.Time
}

// kvHandleMarginDivisor divides the lifetime of a KV cache; that part of it is left for the messages from and to the engines.
const kvHandleMarginDivisor = 10

// kvHandleTTL returns how long after a prefill its KV cache may be taken to another decode engine.
func (c *component) kvHandleTTL(id core.PoolID) time.Duration {
	pool, ok := c.config.Pool(id)
	if !ok || pool.Engine == nil {
		return 0
	}
	return pool.Engine.KVHandleTTL - pool.Engine.KVHandleTTL/kvHandleMarginDivisor
}

// rejectDecode gives up the placement of an attempt whose prefill has ended and whose decode must not be sent, because of f. The
// next attempt takes the KV cache to another decode engine, if there is one and it lives on. An attempt whose decode was never
// sent does not count against the maximum.
func (c *component) rejectDecode(t *core.Turn, r *request, f *core.Failure) {
	if r.kv != nil && !t.Now.Before(r.kv.expires) {
		r.kv = nil
	}
	c.logRejection(t, r, &r.grant, "replaceDecode", f)
	// A cancel frees the KV cache.
	c.sendRelease(t, r, core.PlacementRelease{Unused: true, Cancel: r.kv == nil})
	if f.Kind != core.KindNoUpstream {
		r.avoid = append(r.avoid, r.grant.Decode)
	}
	if c.refuseRejected(t, r, f) {
		return
	}
	r.unsentAttempts++
	c.startAttempt(t, r)
}

// startDecodeWithKV takes the KV cache of an earlier attempt to the decode engine of the grant.
func (c *component) startDecodeWithKV(t *core.Turn, r *request) {
	if !t.Now.Before(r.kv.expires) {
		c.placeWithoutKV(t, r)
		return
	}
	c.startDecode(t, r)
	if r.stage == stageDecode && r.grant.Prefill != "" {
		// A dispatcher of an earlier version has reserved a prefill engine.
		c.sendRelease(t, r, core.PlacementRelease{PrefillOnly: true, Unused: true})
	}
}

// placeWithoutKV gives up a placement for which the KV cache has expired, and asks for one with a prefill.
func (c *component) placeWithoutKV(t *core.Turn, r *request) {
	c.sendRelease(t, r, core.PlacementRelease{Unused: true})
	r.kv = nil
	r.unsentAttempts++
	c.startAttempt(t, r)
}

// avoidRefused makes further placements of the request avoid the upstreams of a grant to which it must not be sent. The
// dispatcher may learn of the reason only later.
func (c *component) avoidRefused(t *core.Turn, r *request, m *core.PlacementGrant) {
	for _, to := range []departure{prefillDeparture(m), decodeDeparture(m)} {
		if to.id != "" && c.departureFailure(t.Now, r, to) != nil {
			r.avoid = append(r.avoid, to.id)
		}
	}
	r.placement.Avoid = r.avoid
}

// backOffDispatcher avoids a dispatcher that chose an upstream which it should know to be unavailable, for
// dispatcherBackoff.
func (c *component) backOffDispatcher(t *core.Turn, r *request, host core.HostID) {
	if !c.dispatchers.IsMixed() || host == c.dispatchers.LocalDispatcher().Host {
		return
	}
	c.dispatcherBackoffUntil[host] = t.Now.Add(dispatcherBackoff)
	r.placedWhileIsolated = c.isIsolated(t.Now)
}
