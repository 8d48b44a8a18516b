package dispatch

import (
	"maps"
	"time"

	"oleanderlever/core"
)

// With hundreds of hosts, each sends a dead or faulty upstream one call after the other before its own circuit breaker
// opens, and calls that must not be repeated are lost. So hosts tell each other which upstreams of plain services failed
// their calls, and avoid those that several have failed at.
const (
	// witnessTTL is how long a failure counts.
	witnessTTL = time.Second
	// unsafeWitnesses is the number of hosts with a failure at which calls that must not be repeated avoid an upstream for
	// unsafeAvoidance, repeatableWitnesses and repeatableAvoidance the same for other calls. The latter are shorter, so
	// that calls which can be repeated try the upstream first.
	unsafeWitnesses     = 2
	unsafeAvoidance     = 3 * time.Second
	repeatableWitnesses = 3
	repeatableAvoidance = 2 * time.Second
	// maxAvoidedRatio is the part of a pool that is avoided at most: if more upstreams seem to fail, something else has.
	maxAvoidedRatio = 0.5
)

// suspicion is what this host knows of the failures at one upstream.
type suspicion struct {
	incarnation uint64
	// witnesses has the time at which this host learned of each host's failure.
	witnesses       map[core.HostID]time.Time
	avoidUnsafe     time.Time
	avoidRepeatable time.Time
}

// isSuspected reports whether a call should avoid an upstream.
func (p *pool) isSuspected(u *upstream, repeatable bool, now time.Time) bool {
	s := p.suspicions[u.ID]
	if s == nil || s.incarnation != u.Incarnation {
		return false
	}
	if repeatable {
		return now.Before(s.avoidRepeatable)
	}
	return now.Before(s.avoidUnsafe)
}

// suspectedUpstreams returns the upstreams that a call should avoid, or none if they are too many of the pool.
func (p *pool) suspectedUpstreams(repeatable bool, now time.Time) map[core.UpstreamID]bool {
	if len(p.suspicions) == 0 {
		return nil
	}
	suspected := map[core.UpstreamID]bool{}
	for id := range p.suspicions {
		if u := p.upstreams[id]; u != nil && !u.evacuated && p.isSuspected(u, repeatable, now) {
			suspected[id] = true
		}
	}
	if float64(len(suspected)) > maxAvoidedRatio*float64(p.countNotEvacuated()) {
		return nil
	}
	return suspected
}

// reportFailure records a failure of a host's call that was placed here, and tells other hosts if it may change what they do.
// A host at which most upstreams of the pool fail is probably itself the cause, so that nobody is told.
func (c *component) reportFailure(t *core.Turn, pl *pool, u *upstream, witness core.HostID) {
	failing := 1
	for id, s := range pl.suspicions {
		if other := pl.upstreams[id]; other != nil && other.evacuated {
			continue
		}
		if at, ok := s.witnesses[witness]; ok && id != u.ID && t.Now.Sub(at) < witnessTTL {
			failing++
		}
	}
	if failing > 1 && float64(failing) > maxAvoidedRatio*float64(pl.countNotEvacuated()) {
		return
	}
	if c.addWitness(t, pl, u, witness) {
		t.Post(core.ShareObservation{Observation: core.Observation{UpstreamFailure: &core.UpstreamFailure{
			Pool: pl.id, Upstream: u.ID, Incarnation: u.Incarnation,
		}}})
	}
}

// observationReceived records what another host has seen or heard of an upstream, and has it passed on if it may change what
// others do.
func (c *component) observationReceived(t *core.Turn, item core.GossipItem) {
	if l := item.Observation.UpstreamLimit; l != nil && c.mergeLimit(t, l, item.ID.Host) {
		t.Post(core.PassOn{Item: item})
	}
	if left := item.Observation.UpstreamLeaving; left != nil && c.leavingHeard(t, left) {
		t.Post(core.PassOn{Item: item})
	}
	if r := item.Observation.UpstreamRefusal; r != nil && c.refusalHeard(t, r) {
		t.Post(core.PassOn{Item: item})
	}
	if p := item.Observation.PoolPressure; p != nil && c.pressureHeard(t, p, item.ID.Host) {
		t.Post(core.PassOn{Item: item})
	}
	f := item.Observation.UpstreamFailure
	if f == nil {
		return
	}
	u := c.findUpstream(f.Pool, f.Upstream)
	if u != nil && u.Incarnation == f.Incarnation && c.addWitness(t, c.pools[f.Pool], u, item.ID.Host) {
		t.Post(core.PassOn{Item: item})
	}
}

// addWitness adds a host's failure at an upstream and reports whether it may change what other hosts do.
func (c *component) addWitness(t *core.Turn, pl *pool, u *upstream, witness core.HostID) bool {
	s := pl.suspicions[u.ID]
	if s == nil || s.incarnation != u.Incarnation {
		s = &suspicion{incarnation: u.Incarnation, witnesses: map[core.HostID]time.Time{}}
		pl.suspicions[u.ID] = s
	}
	maps.DeleteFunc(s.witnesses, func(_ core.HostID, at time.Time) bool { return t.Now.Sub(at) >= witnessTTL })
	_, known := s.witnesses[witness]
	added := !known && len(s.witnesses) < repeatableWitnesses
	if added {
		s.witnesses[witness] = t.Now
	}
	began := s.avoid(t.Now)
	if began {
		t.LogDecision(core.Decision{
			Component: "dispatch", Choice: "avoid", Reason: "calls of several hosts failed at the upstream", Pool: pl.id,
			Target: string(u.ID), Score: float64(len(s.witnesses)),
		})
	}
	return added && (began || len(s.witnesses) < repeatableWitnesses)
}

// avoid starts or extends the avoidance that the number of witnesses calls for, and reports whether it starts or is
// extended by witnessTTL at least; less is not worth telling others.
func (s *suspicion) avoid(now time.Time) (began bool) {
	for _, a := range []struct {
		until     *time.Time
		witnesses int
		duration  time.Duration
	}{{&s.avoidUnsafe, unsafeWitnesses, unsafeAvoidance}, {&s.avoidRepeatable, repeatableWitnesses, repeatableAvoidance}} {
		if len(s.witnesses) < a.witnesses {
			continue
		}
		if until := now.Add(a.duration); until.Sub(*a.until) >= witnessTTL {
			*a.until, began = until, true
		}
	}
	return began
}

// forgetSuspicions removes what has expired.
func (p *pool) forgetSuspicions(now time.Time) {
	maps.DeleteFunc(p.suspicions, func(id core.UpstreamID, s *suspicion) bool {
		for _, at := range s.witnesses {
			if now.Sub(at) < witnessTTL {
				return false
			}
		}
		return p.upstreams[id] == nil || !(now.Before(s.avoidUnsafe) || now.Before(s.avoidRepeatable))
	})
}
