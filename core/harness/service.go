package harness

import (
	"fmt"
	"net/netip"
	"time"

	"oleanderlever/core"
)

// Service is a fake plain service.
type Service struct {
	ID   core.UpstreamID
	Pool core.PoolID
	Up   bool
	// DataCentre is empty for a service that announces none.
	DataCentre core.DataCentre
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration
	// DropResponses breaks the connection of each call after the call has run.
	DropResponses bool
	// ColdTime is how long the service is cold after a restart; it says so unless it is Silent. ColdArrivals has the times of the
	// calls that arrived while it was cold.
	ColdTime     time.Duration
	Silent       bool
	ColdArrivals []time.Time
	// Slots is the number of calls that the service announces to run at once.
	Slots int
	// QueueLimit is the number of calls that wait for a slot; the service rejects further ones. Negative means that all calls
	// run at once, whatever Slots is.
	QueueLimit int
	// RandomTime makes the duration of each call random: half of ServiceTime is fixed, the other half is the mean of an
	// exponential distribution.
	RandomTime bool
	// Leaving announces that the service takes no new calls.
	Leaving bool
	// Rejected counts the calls that were rejected because the queue was full, Running are the calls that run now.
	Rejected int
	Running  int
	RateLimit

	upstreams   *FakeUpstreams
	index       int
	incarnation uint64
	coldUntil   time.Time
	waiting     []func()
}

// AddService starts a fake plain service that announces no data centre, and itself once the run goes on.
func (f *FakeUpstreams) AddService(pool core.PoolID, serviceTime time.Duration) *Service {
	return f.AddServiceIn("", pool, serviceTime)
}

// AddServiceIn starts a fake plain service in a data centre.
func (f *FakeUpstreams) AddServiceIn(d core.DataCentre, pool core.PoolID, serviceTime time.Duration) *Service {
	s := &Service{
		ID: core.UpstreamID(fmt.Sprintf("%s-%d", pool, len(f.Services))), Pool: pool, Up: true, DataCentre: d, ServiceTime: serviceTime,
		Slots: defaultServiceSlots, QueueLimit: -1, upstreams: f, index: len(f.Services), incarnation: 1,
	}
	f.Services = append(f.Services, s)
	f.run.After(0, s.heartbeat)
	return s
}

const defaultServiceSlots = 64

func (s *Service) heartbeat() {
	s.upstreams.run.After(heartbeatInterval, s.heartbeat)
	if s.Up {
		s.upstreams.sendToRandomHost(core.UpstreamAnnounced{Announcement: s.Announcement()})
	}
}

// Announcement returns what the service announces now.
func (s *Service) Announcement() core.Announcement {
	a := core.Announcement{
		ID: s.ID, Pool: s.Pool, Role: core.RoleService, Addr: upstreamAddr(s.index, 2), Incarnation: s.incarnation, Slots: s.Slots, Leaving: s.Leaving,
		DataCentre: s.DataCentre,
	}
	if s.ColdTime > 0 && !s.Silent {
		a.ColdFor, a.ColdStated = s.coldFor(), true
	}
	return a
}

// coldFor returns how much longer the service is cold.
func (s *Service) coldFor() time.Duration { return max(0, s.coldUntil.Sub(s.upstreams.run.Now)) }

// Crash ends the service's process; the calls that it runs fail at the end of their time.
func (s *Service) Crash() { s.Up = false }

// Restart starts a new incarnation of the service, which is cold for ColdTime. Its calls are lost.
func (s *Service) Restart() {
	s.Up = true
	s.incarnation++
	s.coldUntil = s.upstreams.run.Now.Add(s.ColdTime)
}

func (f *FakeUpstreams) serviceByAddr(addr netip.AddrPort) *Service {
	for _, s := range f.Services {
		if upstreamAddr(s.index, 2) == addr {
			return s
		}
	}
	return nil
}

// call runs a call; once it has been sent, it runs even if the host crashes.
func (f *FakeUpstreams) call(x *Exchange, a core.RunCall) {
	s := f.serviceByAddr(a.Addr)
	f.run.After(f.NetworkDelay, func() {
		if s == nil || !s.Up {
			f.post(x, core.CallEnded{Attempt: a.Attempt, Failure: unreachable()})
			return
		}
		if s.isFull() {
			s.Rejected++
			ended := core.CallEnded{Attempt: a.Attempt, Failure: refusal("the queue is full"), Statement: s.statement(s.ID, f.run.Now)}
			f.after(x, f.NetworkDelay, func() { f.post(x, ended) })
			return
		}
		x.AttemptsRun++
		s.Arrivals = append(s.Arrivals, f.run.Now)
		if s.coldFor() > 0 {
			s.ColdArrivals = append(s.ColdArrivals, f.run.Now)
		}
		incarnation := s.incarnation
		if f.DeadlyContent[x.ContentHash] {
			f.Crashes++
			s.Crash()
			f.run.After(crashTime, s.Restart)
		}
		s.start(func() {
			f.CallCounts[x.Content]++
			ended := core.CallEnded{
				Attempt: a.Attempt, Response: core.StoredResponse{Status: 200, Body: []byte(x.Content)},
				Statement: s.statement(s.ID, f.run.Now),
			}
			if coldFor := s.coldFor(); coldFor > 0 && !s.Silent {
				ended.Statement.ColdFor, ended.Statement.ColdStated = coldFor, true
			}
			if s.DropResponses || !s.Up || s.incarnation != incarnation {
				ended = core.CallEnded{Attempt: a.Attempt, Failure: connectionEnded(s.Up)}
			}
			f.after(x, f.NetworkDelay, func() { f.post(x, ended) })
		})
	})
}

// Waiting returns the number of calls that wait for a slot.
func (s *Service) Waiting() int { return len(s.waiting) }

func (s *Service) isFull() bool {
	return s.QueueLimit >= 0 && s.Running >= s.Slots && len(s.waiting) >= s.QueueLimit
}

// start runs a call now or once a slot is free, and calls ended at its end.
func (s *Service) start(ended func()) {
	if s.QueueLimit >= 0 && s.Running >= s.Slots {
		s.waiting = append(s.waiting, ended)
		return
	}
	s.Running++
	s.upstreams.run.After(s.callTime(), func() {
		ended()
		s.Running--
		if len(s.waiting) > 0 && s.Running < s.Slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
	})
}

// callTime returns how long the next call takes.
func (s *Service) callTime() time.Duration {
	if !s.RandomTime {
		return s.ServiceTime
	}
	return time.Duration(float64(s.ServiceTime) * (1 + s.upstreams.run.Rand.ExpFloat64()) / 2)
}
