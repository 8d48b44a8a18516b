package entry

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// A host that has just started has no configuration for some hundred milliseconds. Requests that come meanwhile wait for it:
// after a loss of all hosts every caller would spend its retries on refusals otherwise.
const (
	// parkFor bounds the wait of one request, parkShare times what is left until its deadline: a caller that is refused
	// then can still come back.
	parkFor   = 600 * time.Millisecond
	parkShare = 0.3
	// startTime is how long after its start a host may be without a configuration before it refuses at once.
	startTime = 3 * time.Second
)

// mayPark reports whether a request should wait for the host's first configuration.
func (p *part) mayPark(now time.Time) bool {
	return !p.isConfigured(now) && now.Sub(p.started) < startTime && !p.draining && !p.lameDuck
}

func (p *part) isConfigured(now time.Time) bool { return p.tables.Version > 0 && now.Before(p.until) }

// park keeps a request until the host has a configuration.
func (p *part) park(t *core.Turn, r *core.Request) {
	rq := &request{Request: *r, arrived: t.Now, wakeAt: -1, stage: stageConfig}
	wait := min(parkFor, time.Duration(parkShare*float64(r.Deadline.Sub(t.Now))))
	rq.wake = t.Now.Add(max(0, wait))
	p.requests[r.ID] = rq
	p.wakes.Fix(rq)
	p.parked = append(p.parked, r.ID)
}

// unpark takes up the requests that waited for a configuration, in the order of their arrival.
func (p *part) unpark(t *core.Turn) {
	if !p.isConfigured(t.Now) {
		return
	}
	parked := p.parked
	p.parked = nil
	for _, id := range parked {
		r := p.requests[id]
		delete(p.requests, id)
		p.wakes.Remove(r)
		p.takeUp(t, r.Request, r.arrived)
	}
}

// leavePark refuses a request that waited for a configuration.
func (p *part) leavePark(t *core.Turn, r *request, f *core.Failure) {
	p.parked = slices.DeleteFunc(p.parked, func(id core.RequestID) bool { return id == r.ID })
	p.refuse(t, r, f)
}
