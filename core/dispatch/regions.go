package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// mayRunAt reports whether a request may run in the region of an upstream.
func (p *pool) mayRunAt(request *core.PlacementRequest, u *upstream) bool {
	return len(request.Regions) == 0 || core.AllowsRegion(request.Regions, u.region)
}

// moveToRegion sets the region of an upstream, which is no candidate in another region from then on.
func (p *pool) moveToRegion(u *upstream, region core.Region) {
	if u.region == region {
		return
	}
	p.decodeCandidates.Remove(u)
	p.prefillCandidates.Remove(u)
	p.recount(u)
	u.region = region
}

// knowsUpstreams reports whether the pool has had upstreams for so long that this host knows them all.
func (p *pool) knowsUpstreams(now time.Time) bool {
	return len(p.upstreams) > 0 && now.Sub(p.stockedSince) >= noUpstreamTimeout
}

// isOutside reports whether the pool has upstreams, but none in the regions of a request. Leaving ones count, since their
// successors are usually starting.
func (p *pool) isOutside(request *core.PlacementRequest, now time.Time) bool {
	if len(request.Regions) == 0 || !p.knowsUpstreams(now) {
		return false
	}
	for _, u := range p.upstreams {
		if p.mayRunAt(request, u) {
			return false
		}
	}
	return true
}

// outsideChecker returns a function that reports the same as isOutside for one queued attempt after the other.
func (p *pool) outsideChecker(now time.Time) func(request *core.PlacementRequest) bool {
	known := p.knowsUpstreams(now)
	var present map[core.Region]bool
	return func(request *core.PlacementRequest) bool {
		if len(request.Regions) == 0 || !known {
			return false
		}
		if present == nil {
			present = map[core.Region]bool{}
			for _, u := range p.upstreams {
				present[u.region] = true
			}
			delete(present, "")
		}
		return !slices.ContainsFunc(request.Regions, func(region core.Region) bool { return present[region] })
	}
}

// outside returns the refusal of an attempt without an upstream in its regions.
func (p *pool) outside(request *core.PlacementRequest) core.PlacementRefused {
	f := core.Fail(core.KindNoUpstream, "pool %s has no upstream in the regions %v", p.id, request.Regions)
	return core.PlacementRefused{Attempt: request.Attempt, Failure: *f, Final: true}
}
