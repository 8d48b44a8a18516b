package dispatch

import (
	"time"

	"oleanderlever/core"
)

// If the configuration has a pool's engines, they are split between the prefill and decode roles by demand: the time
// that prefill engines compute and the memory that decodes hold, each averaged over the same period. The ratio of the
// two does not change when one role throttles the other, unlike the load of either role alone, and the split follows
// the number of engines when some leave.
const (
	// demandSampleWeight is the weight of the newest sample; each sweep takes one. The average covers ten seconds, more
	// than twice the duration of a response, because decodes lag behind their prefills.
	demandSampleWeight = 0.01
	// minDemandSamples is how many samples the first average needs.
	minDemandSamples = 20
	// maxPrefillUtilization is the fraction of time that a prefill engine may be busy before prompts queue for long.
	maxPrefillUtilization = 0.9
	// minSplitRatio is how many times the capacity of the current split another one must have before an engine changes
	// its role; the margin is the hysteresis.
	minSplitRatio = 1.08
	// demandChangePause is the minimum time between changes, so that the engine's new role is announced before the next
	// change. At most one in maxChangingDivisor of a pool's engines, but at least one, may change its role at a time.
	demandChangePause  = time.Second
	maxChangingDivisor = 12
)

// demand is the recent average demand of a pool for each role, in fully busy engines.
type demand struct {
	prefill float64
	decode  float64
	samples int
}

// roleGroups holds the usable engines of a pool by role, without those of RoleBoth, the number of engines that are
// changing to each role, and the current load of each role in engines.
type roleGroups struct {
	prefillEngines, decodeEngines       []*upstream
	changingToPrefill, changingToDecode int
	busyPrefillEngines, decodeLoad      float64
}

// groupByRole returns the engines of the pool by role, without those of RoleBoth.
func (p *pool) groupByRole() roleGroups {
	var groups roleGroups
	for _, u := range p.upstreams {
		switch {
		case u.prefillIndex >= 0 && !u.Role.CanDecode():
			groups.prefillEngines = append(groups.prefillEngines, u)
			if u.prefillTokens > 0 {
				groups.busyPrefillEngines++
			}
		case u.decodeIndex >= 0 && u.Role == core.RoleDecode:
			groups.decodeEngines = append(groups.decodeEngines, u)
			groups.decodeLoad += u.load
		case !u.Leaving && !u.evacuated && p.assignmentPending(u):
			if want, _ := p.config.Assignment(u.ID); want.Role == core.RolePrefill {
				groups.changingToPrefill++
			} else {
				groups.changingToDecode++
			}
		}
	}
	return groups
}

// addSample adds a sample to the averages; an idle pool gives none.
func (d *demand) addSample(groups *roleGroups) {
	if groups.busyPrefillEngines == 0 && groups.decodeLoad == 0 {
		return
	}
	d.samples++
	sampleWeight := max(demandSampleWeight, 1/float64(d.samples))
	d.prefill += sampleWeight * (groups.busyPrefillEngines - d.prefill)
	d.decode += sampleWeight * (groups.decodeLoad - d.decode)
}

// roleChangeByDemand adds a sample and returns the assignment of an engine to its new role, if another split has more
// than minSplitRatio times the capacity. A decode engine becomes a prefill engine only if the prefill demand is above
// maxPrefillUtilization.
func (p *pool) roleChangeByDemand(now time.Time) (core.Assignment, bool) {
	groups := p.groupByRole()
	if !p.limited {
		// Engines that limit their requests are idle whatever the demand is.
		p.demand.addSample(&groups)
	}
	changing := groups.changingToPrefill + groups.changingToDecode
	prefillEngines := len(groups.prefillEngines) + groups.changingToPrefill
	engines := prefillEngines + len(groups.decodeEngines) + groups.changingToDecode
	if p.demand.samples < minDemandSamples || now.Sub(p.roleLoad.lastChange) < demandChangePause ||
		changing >= max(1, engines/maxChangingDivisor) {
		return core.Assignment{}, false
	}
	best := p.demand.bestSplit(prefillEngines, engines)
	if p.demand.capacityRatio(best, engines-best) <=
		minSplitRatio*p.demand.capacityRatio(prefillEngines, engines-prefillEngines) {
		return core.Assignment{}, false
	}
	switch {
	case best < prefillEngines && len(groups.prefillEngines) > minEnginesPerRole:
		return p.reassign(leastBusyEngine(groups.prefillEngines), core.RoleDecode, now), true
	case best > prefillEngines && len(groups.decodeEngines) > minEnginesPerRole &&
		p.demand.prefill > maxPrefillUtilization*float64(prefillEngines):
		return p.reassign(leastBusyEngine(groups.decodeEngines), core.RolePrefill, now), true
	}
	return core.Assignment{}, false
}

// bestSplit returns the number of prefill engines that gives the pool the highest capacity. If the current number is as
// good as any other, it returns that.
func (d *demand) bestSplit(prefillEngines, engines int) int {
	best := prefillEngines
	for n := minEnginesPerRole; n <= engines-minEnginesPerRole; n++ {
		if difference := d.capacityRatio(n, engines-n) - d.capacityRatio(best, engines-best); difference > 0 {
			best = n
		}
	}
	return best
}

// capacityRatio returns the capacity of a split as a multiple of the recent demand.
func (d *demand) capacityRatio(prefillEngines, decodeEngines int) float64 {
	return min(maxPrefillUtilization*float64(prefillEngines)/d.prefill, float64(decodeEngines)/d.decode)
}

// reassign returns the assignment of an engine to another role and records the time of the change.
func (p *pool) reassign(u *upstream, to core.Role, now time.Time) core.Assignment {
	p.roleLoad.lastChange = now
	return core.Assignment{Upstream: u.ID, Pool: p.id, Role: to, ModelVersion: u.ModelVersion, Adapter: u.Adapter}
}
