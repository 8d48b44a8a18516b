package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// versionGrace is how long after its last heartbeat an upstream may still be back before streams of its software version are
	// given up. One that crashed usually starts again with the same version.
	versionGrace = 5 * time.Second
	// maxListAge is the age of the newest heartbeat up to which a host knows the upstreams that others know.
	maxListAge = 2 * time.Second
	// formerVersionTTL is how long a version is remembered after its last upstream, maxFormerVersions limits their number.
	formerVersionTTL  = 10 * time.Minute
	maxFormerVersions = 64
)

// hasOtherVersion reports whether a request continues a stream that an upstream must not, since another software version began it.
func hasOtherVersion(request *core.PlacementRequest, u *upstream) bool {
	return request.FixedVersion && request.SoftwareVersion != u.SoftwareVersion
}

// isRestricted reports whether only some upstreams of the pool may get a request, so that others may take the next ones meanwhile.
func (p *pool) isRestricted(request *core.PlacementRequest) bool {
	return len(request.Regions) > 0 || p.isOneOfSeveralVersions(request)
}

// isOneOfSeveralVersions reports whether a request continues a stream, and some upstream has another software version.
func (p *pool) isOneOfSeveralVersions(request *core.PlacementRequest) bool {
	return request.FixedVersion && p.versions[request.SoftwareVersion] < len(p.upstreams)
}

// hasAlternative reports whether the pool has a decode candidate for a request that is not in Avoid.
func (p *pool) hasAlternative(request *core.PlacementRequest) bool {
	if !p.isOneOfSeveralVersions(request) {
		return p.decodeCandidates.LenIn(request.Regions) > len(request.Avoid)
	}
	found := false
	avoided := map[core.UpstreamID]bool{}
	for _, id := range request.Avoid {
		avoided[id] = true
	}
	p.decodeCandidates.AscendIn(request.Regions, func(u *upstream) bool {
		found = found || (!hasOtherVersion(request, u) && !avoided[u.ID])
		return !found
	})
	return found
}

// lacksVersion reports whether the upstreams of the software version that began the request's stream are gone. A leaving one takes no
// further stream.
func (p *pool) lacksVersion(request *core.PlacementRequest, now time.Time) bool {
	if !request.FixedVersion || !p.knowsUpstreams(now) {
		return false
	}
	for _, u := range p.upstreams {
		if !hasOtherVersion(request, u) && !u.Leaving && u.Role != core.RolePrefill && p.heartbeatReference(now).Sub(u.lastSeen) < versionGrace {
			return false
		}
	}
	return true
}

// versionGone returns the refusal of an attempt whose stream no upstream may continue.
func (p *pool) versionGone(request *core.PlacementRequest) core.PlacementRefused {
	f := core.Fail(core.KindVersionUnavailable, "pool %s has no upstream of software version %q, which began the stream", p.id, request.SoftwareVersion)
	return core.PlacementRefused{Attempt: request.Attempt, Failure: *f, Final: true}
}

// countVersion counts an upstream with a software version.
func (p *pool) countVersion(v core.SoftwareVersion) { p.versions[v]++ }

// uncountVersion counts an upstream less with a software version, and remembers that there was one.
func (p *pool) uncountVersion(v core.SoftwareVersion, now time.Time) {
	if p.versions[v]--; p.versions[v] == 0 {
		delete(p.versions, v)
	}
	if len(p.formerVersions) >= maxFormerVersions {
		maps.DeleteFunc(p.formerVersions, func(_ core.SoftwareVersion, at time.Time) bool { return now.Sub(at) >= formerVersionTTL })
	}
	if len(p.formerVersions) < maxFormerVersions {
		p.formerVersions[v] = now
	}
}

// soleVersion answers a FindSoleVersion.
func (c *component) soleVersion(t *core.Turn, e core.FindSoleVersion) {
	answer := core.SoleVersion{Request: e.Request}
	if pl := c.pools[e.Pool]; pl != nil {
		versions := map[core.SoftwareVersion]bool{}
		for v := range pl.versions {
			versions[v] = true
		}
		for v, at := range pl.formerVersions {
			if t.Now.Sub(at) < max(e.Lifetime, staleTimeout) {
				versions[v] = true
			}
		}
		known := slices.Collect(maps.Keys(versions))
		answer.IsSole, answer.HasUpstreams = len(known) == 1, len(pl.upstreams) > 0
		if answer.IsSole {
			answer.Version = known[0]
		}
		answer.IsCertain = len(pl.formerVersions) < maxFormerVersions && len(pl.upstreams) > 0 &&
			t.Now.Sub(pl.stockedSince) >= e.Lifetime && t.Now.Sub(pl.lastSeen) <= maxListAge
	}
	t.Post(answer)
}
