package entry

import (
	"time"

	"oleanderlever/core"
)

// originMargin is how long after the end of its time a stream may still be taken up.
const originMargin = 10 * time.Second

// lifetime returns how long ago the stream that a request continues may have begun.
func (r *request) lifetime(now time.Time) time.Duration {
	return max(r.route.Timeout, r.Deadline.Sub(now)) + originMargin
}

// fixVersion restricts the further attempts of a request to upstreams of a software version.
func (r *request) fixVersion(v core.SoftwareVersion) { r.version, r.hasVersion = v, true }

// responseBegan records the software version that sent the first token or event of a response. What two versions write does not fit
// together, so that only upstreams of this one may continue it. If the caller may take the stream up again, other hosts are told.
func (c *component) responseBegan(t *core.Turn, r *request) {
	if !r.hasVersion {
		r.fixVersion(r.grant.DecodeVersion)
	}
	if r.announced || !r.route.Resumable {
		return
	}
	r.announced = true
	began := core.StreamBegan{Stream: r.ID, Version: r.version, TTL: r.lifetime(t.Now)}
	if r.Continues {
		began.Stream = r.Origin
	}
	if began.Stream != "" {
		t.Post(began)
	}
}

// findOrigin searches for the software version that began the stream which a request continues.
func (c *component) findOrigin(t *core.Turn, r *request) {
	r.stage = stageOrigin
	c.schedule(r)
	if r.Origin == "" {
		t.Post(core.FindSoleVersion{Request: r.ID, Pool: r.pool, Lifetime: r.lifetime(t.Now)})
		return
	}
	t.Post(core.FindOrigin{Request: r.ID, Stream: r.Origin})
}

func (c *component) originFound(t *core.Turn, e core.OriginFound) {
	r := c.requests[e.Request]
	switch {
	case r == nil || r.stage != stageOrigin:
	case e.Known:
		c.continueStream(t, r, e.Version, "a host remembers the stream")
	default:
		t.Post(core.FindSoleVersion{Request: r.ID, Pool: r.pool, Lifetime: r.lifetime(t.Now)})
	}
}

// soleVersionFound decides on a stream that no host remembers. If the caller names its origin, this host must be certain that
// there was only one version. Callers that don't are not told apart by versions as long as this host knows of one at most.
func (c *component) soleVersionFound(t *core.Turn, e core.SoleVersion) {
	r := c.requests[e.Request]
	switch {
	case r == nil || r.stage != stageOrigin:
	case e.IsSole && (e.IsCertain || r.Origin == ""):
		c.continueStream(t, r, e.Version, "the pool has had one software version")
	case !e.HasUpstreams && r.Origin == "":
		c.acquireQuota(t, r)
	default:
		c.refuse(t, r, core.Fail(core.KindVersionUnavailable, "the software version that began stream %q is not known", r.Origin))
	}
}

func (c *component) continueStream(t *core.Turn, r *request, v core.SoftwareVersion, reason string) {
	r.fixVersion(v)
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "continue", Reason: reason, Request: r.ID, Account: r.account.ID, Pool: r.pool, Target: string(r.Origin), Software: v,
	})
	c.acquireQuota(t, r)
}

// versionFailure returns why a decode must not be sent to an upstream of another software version than the response has, or nil. A
// dispatcher of an earlier version does not know the restriction and names no version.
func (c *component) versionFailure(r *request, to departure) *core.Failure {
	if !to.isDecode || !r.hasVersion || to.version == r.version {
		return nil
	}
	return core.Fail(core.KindNoUpstream, "upstream %s has software version %q, and %q began the response", to.id, to.version, r.version)
}
