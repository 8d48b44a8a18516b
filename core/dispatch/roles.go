package dispatch

import (
	"time"

	"oleanderlever/core"
)

// If the configuration does not have a pool's engines, they change roles if the engines of one role have been busy and
// those of the other idle for a while. The gap between the high and low thresholds is the hysteresis; loadChangePause
// lets a change take effect before the next one.
const (
	prefillHighLoad = 0.85
	prefillLowLoad  = 0.40
	decodeHighLoad  = 0.90
	decodeLowLoad   = 0.70
	// loadSampleWeight is the weight of the newest sample; each sweep takes one.
	loadSampleWeight = 0.04
	loadChangePause  = 8 * time.Second
	// roleChangeHold is how long the condition for a change must hold. decodeRiseMargin is how far the decode load may be
	// above its average for a decode engine to become a prefill engine: slots fill some seconds after prefills, so decode
	// engines that are only filling up look idle.
	roleChangeHold   = 2 * time.Second
	decodeRiseMargin = 0.05
	// minEnginesPerRole is how many engines keep each role.
	minEnginesPerRole = 2
)

// roleLoad is the recent average load of the engines of each role, from 0 to 1.
type roleLoad struct {
	prefill float64
	decode  float64
	// decodeRising is true if the last sample of the decode load was more than decodeRiseMargin above the average.
	decodeRising bool
	lastChange   time.Time
	// wantedSince is since when the condition for a change to wantedRole has held.
	wantedSince time.Time
	wantedRole  core.Role
}

// loadImbalance returns how much busier the prefill engines are than the decode engines, for the log: a ratio of
// demands if the configuration has the engines, and otherwise a difference of loads.
func (p *pool) loadImbalance() float64 {
	if p.engine != nil {
		return p.demand.prefill / maxPrefillUtilization / max(p.demand.decode, 1)
	}
	return p.roleLoad.prefill - p.roleLoad.decode
}

// sampleLoad adds a sample to the average loads and returns the usable engines of each role, without those of RoleBoth.
func (p *pool) sampleLoad(now time.Time) (prefillEngines, decodeEngines []*upstream) {
	busy, totalLoad := 0, 0.0
	for _, u := range p.upstreams {
		switch {
		case u.prefillIndex >= 0 && !u.Role.CanDecode():
			prefillEngines = append(prefillEngines, u)
			if now.Before(u.busyUntil) {
				busy++
			}
		case u.decodeIndex >= 0 && u.Role == core.RoleDecode:
			decodeEngines = append(decodeEngines, u)
			totalLoad += u.load
		}
	}
	if len(prefillEngines) > 0 {
		p.roleLoad.prefill += loadSampleWeight * (float64(busy)/float64(len(prefillEngines)) - p.roleLoad.prefill)
	}
	if len(decodeEngines) > 0 {
		current := totalLoad / float64(len(decodeEngines))
		p.roleLoad.decodeRising = current > p.roleLoad.decode+decodeRiseMargin
		p.roleLoad.decode += loadSampleWeight * (current - p.roleLoad.decode)
	}
	return prefillEngines, decodeEngines
}

// roleChangeByLoad adds a sample and returns the assignment of an engine to its new role, if one role is overloaded and
// the other has enough capacity without the engine.
func (p *pool) roleChangeByLoad(now time.Time) (core.Assignment, bool) {
	prefillEngines, decodeEngines := p.sampleLoad(now)
	if now.Sub(p.roleLoad.lastChange) < loadChangePause {
		return core.Assignment{}, false
	}
	var from []*upstream
	var to core.Role
	switch {
	case p.roleLoad.prefill > prefillHighLoad && !p.roleLoad.decodeRising &&
		loadWithoutOne(p.roleLoad.decode, len(decodeEngines)) < decodeLowLoad:
		from, to = decodeEngines, core.RolePrefill
	case p.roleLoad.decode > decodeHighLoad && loadWithoutOne(p.roleLoad.prefill, len(prefillEngines)) < prefillLowLoad:
		from, to = prefillEngines, core.RoleDecode
	}
	if to != p.roleLoad.wantedRole {
		p.roleLoad.wantedRole, p.roleLoad.wantedSince = to, now
	}
	if len(from) <= minEnginesPerRole || now.Sub(p.roleLoad.wantedSince) < roleChangeHold {
		return core.Assignment{}, false
	}
	return p.reassign(leastBusyEngine(from), to, now), true
}

// loadWithoutOne returns the load of the engines of a role if there were one fewer.
func loadWithoutOne(load float64, engines int) float64 {
	if engines <= 1 {
		return 1
	}
	return load * float64(engines) / float64(engines-1)
}

// leastBusyEngine returns the engine with the smallest sum of reserved slots and prefill tokens, and of equal ones the
// first by ID.
func leastBusyEngine(list []*upstream) *upstream {
	best := list[0]
	for _, u := range list[1:] {
		if x, y := u.reservedSlots+int(u.prefillTokens), best.reservedSlots+int(best.prefillTokens); x < y || (x == y && u.ID < best.ID) {
			best = u
		}
	}
	return best
}

// balanceRoles requests role changes from the leader if the pool's policy allows them and this host dispatches the
// pool.
func (c *component) balanceRoles(t *core.Turn, pl *pool) {
	if dispatcher, ok := c.dispatchers.DispatcherOf(pl.id, pl.engine == nil, c.members); !ok ||
		dispatcher.Host != c.self || !c.config.Policy(pl.id).AutoRoles {
		return
	}
	chooseChange := pl.roleChangeByLoad
	if pl.engine != nil {
		chooseChange = pl.roleChangeByDemand
	}
	a, ok := chooseChange(t.Now)
	if !ok {
		return
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: "shift", Reason: "the target role needs more engines", Pool: pl.id,
		Target: string(a.Upstream) + ">" + string(a.Role), Score: pl.loadImbalance(),
	})
	t.Send(c.leader, core.RoleChangeRequest{Assignment: a})
}
