package dispatch

import (
	"fmt"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
)

// evacuationRetryAfter is when callers of a pool whose upstreams are all evacuated may try again. An evacuation ends when its
// operators say so; entry hosts shorten the time for callers that have less.
const evacuationRetryAfter = 5 * time.Second

// applyEvacuations compares the active configuration with the one before. If it evacuates other data centres, the upstreams
// there leave or return to the candidates at once instead of at the next sweep.
func (c *component) applyEvacuations(t *core.Turn, previous *core.Config) {
	config := c.config
	begun, ended := without(config.Evacuated, previous), without(previous.Evacuated, config)
	if len(begun) == 0 && len(ended) == 0 {
		return
	}
	for _, d := range begun {
		c.logEvacuation(t, core.ChangeEvacuate, d)
	}
	for _, d := range ended {
		c.logEvacuation(t, core.ChangeEndEvacuation, d)
	}
	for _, pl := range c.sortedPools() {
		pl.refreshAll(t.Now, config.Policy(pl.id))
		c.refuseEvacuated(t, pl)
		c.placeQueued(t, pl)
	}
	c.postAvailability(t)
}

// without returns the data centres of a list that a configuration does not evacuate.
func without(list []core.DataCentre, config *core.Config) []core.DataCentre {
	var out []core.DataCentre
	for _, d := range list {
		if !config.IsEvacuated(d) {
			out = append(out, d)
		}
	}
	return out
}

// logEvacuation logs that an evacuation begins or ends on this host, with the number of upstreams and hosts that it knows in
// the data centre. None is no error, since upstreams may come later.
func (c *component) logEvacuation(t *core.Turn, kind core.ChangeKind, d core.DataCentre) {
	upstreams, hosts := 0, 0
	for _, pl := range c.pools {
		for _, u := range pl.upstreams {
			if u.DataCentre == d {
				upstreams++
			}
		}
	}
	for i := range c.members {
		if c.members[i].DataCentre == d {
			hosts++
		}
	}
	t.LogDecision(core.Decision{
		Component: "dispatch", Choice: kind.String(), Reason: fmt.Sprintf("%d upstreams and %d hosts are known there", upstreams, hosts),
		Target: string(d), Score: float64(upstreams), Version: c.config.Version,
	})
}

// isEvacuated reports whether the pool has upstreams and all of them are in evacuated data centres.
func (p *pool) isEvacuated() bool {
	if len(p.upstreams) == 0 || len(p.config.Evacuated) == 0 {
		return false
	}
	for _, u := range p.upstreams {
		if !u.evacuated {
			return false
		}
	}
	return true
}

// countNotEvacuated returns the number of upstreams that are not in evacuated data centres.
func (p *pool) countNotEvacuated() int {
	if len(p.config.Evacuated) == 0 {
		return len(p.upstreams)
	}
	n := 0
	for _, u := range p.upstreams {
		if !u.evacuated {
			n++
		}
	}
	return n
}

// evacuatedFailure returns the failure of an attempt in a pool whose upstreams are all evacuated.
func (p *pool) evacuatedFailure() *core.Failure {
	f := core.Fail(core.KindOverloaded, "the data centres of all upstreams of pool %s are evacuated", p.id)
	f.RetryAfter = evacuationRetryAfter
	return f
}

// refuseEvacuated refuses all queued attempts of a pool if its upstreams are all evacuated.
func (c *component) refuseEvacuated(t *core.Turn, pl *pool) {
	if !pl.isEvacuated() {
		return
	}
	for _, item := range pl.queue.RemoveWhere(func(*admission.Item) bool { return true }) {
		c.refuseQueued(t, pl, item, core.PlacementRefused{Attempt: item.Request.Attempt, Failure: *pl.evacuatedFailure()})
	}
}
