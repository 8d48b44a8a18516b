package entry

import (
	"fmt"
	"slices"

	"oleanderlever/core"
)

// restrict limits an admitted request to the regions that its route and its account allow.
func (a *admission) restrict() *core.Failure {
	var ok bool
	if a.regions, ok = core.IntersectRegions(a.route.Regions, a.account.Regions); !ok {
		return core.Fail(core.KindNoUpstream, "route %s and client account %s have no region in common", a.route.Name, a.account.ID)
	}
	return nil
}

// regionFailure returns why a request may not run in the data centre of an upstream, or nil. A dispatcher of an earlier version
// does not know the regions of the request and names no data centre.
func (c *component) regionFailure(r *request, to departure) *core.Failure {
	if core.AllowsRegion(r.regions, c.regions[to.dataCentre]) {
		return nil
	}
	return core.Fail(core.KindNoUpstream, "upstream %s is in data centre %q, outside the regions %v", to.id, to.dataCentre, r.regions)
}

// maxLoggedRegions limits the regions in one log line.
const maxLoggedRegions = 8

// logUnknownRegions logs which regions of the configuration have no data centre, if that has changed. Data centres may come later.
func (c *component) logUnknownRegions(t *core.Turn) {
	known := map[core.Region]bool{}
	for _, region := range c.regions {
		known[region] = true
	}
	var unknown []core.Region
	add := func(list []core.Region) {
		for _, region := range list {
			if !known[region] {
				known[region] = true
				unknown = append(unknown, region)
			}
		}
	}
	for i := range c.config.Routes {
		add(c.config.Routes[i].Regions)
	}
	for i := range c.config.Accounts {
		add(c.config.Accounts[i].Regions)
	}
	slices.Sort(unknown)
	if slices.Equal(unknown, c.unknownRegions) {
		return
	}
	c.unknownRegions = unknown
	shown := unknown[:min(len(unknown), maxLoggedRegions)]
	t.LogDecision(core.Decision{
		Component: "entry", Choice: "regions", Version: c.config.Version, Score: float64(len(unknown)),
		Reason: fmt.Sprintf("regions of the configuration without a data centre: %v", shown),
	})
}
