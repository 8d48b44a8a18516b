package soak

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// drainTime is how long a host may take to shut down gracefully.
const drainTime = 20 * time.Second

// secondSignal is the time between two signals of one series.
const secondSignal = 150 * time.Millisecond

// inject carries the plan out, each fault by itself, and returns when all are over.
func (s *soak) inject(events []Event) {
	began := time.Now()
	var all sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.At)))
		s.note("fault %v", e)
		all.Go(func() { s.carryOut(e) })
	}
	all.Wait()
}

func (s *soak) carryOut(e Event) {
	h := s.fleet.Hosts[e.Target%len(s.fleet.Hosts)]
	upstreams := s.fleet.links[len(s.fleet.links)-len(s.fleet.engines)-1:]
	switch e.Fault {
	case FaultKill:
		s.down(h, e.For, syscall.SIGKILL)
	case FaultKillAll:
		for _, h := range s.fleet.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range s.fleet.Hosts {
			s.down(h, 0, syscall.SIGKILL)
		}
	case FaultPause:
		h.Signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		h.Signal(syscall.SIGCONT)
	case FaultTerm:
		s.down(h, e.For, syscall.SIGTERM)
	case FaultTermAfterTerm:
		h.Signal(syscall.SIGTERM)
		time.Sleep(secondSignal)
		s.down(h, e.For, syscall.SIGTERM)
	case FaultHup:
		h.Signal(syscall.SIGHUP)
	case FaultLoseDisk:
		s.loseDisk(h, e.For)
	case FaultCut:
		during(h.hosts, MoodCut, e.For)
	case FaultOneWay:
		during(h.hosts, MoodOneWay, e.For)
	case FaultSlow:
		during(h.hosts, MoodSlow, e.For)
	case FaultReset:
		h.hosts.Reset()
	case FaultSilence:
		h.hosts.Silence()
	case FaultCutCallers:
		during(h.callers, MoodCut, e.For)
	case FaultResetUpstreams:
		for _, l := range upstreams {
			l.Reset()
		}
	case FaultSilenceUpstreams:
		for _, l := range upstreams {
			l.Silence()
		}
	case FaultCutUpstream:
		during(upstreams[e.Target%len(upstreams)], MoodCut, e.For)
	}
}

// down ends a host's process by a signal and starts it again after a while.
func (s *soak) down(h *Host, away time.Duration, signal syscall.Signal) {
	h.Signal(signal)
	h.Await(drainTime)
	time.Sleep(away)
	s.check(s.fleet.Start(h), "start")
}

func (s *soak) loseDisk(h *Host, away time.Duration) {
	h.Signal(syscall.SIGKILL)
	h.Await(drainTime)
	s.check(os.RemoveAll(h.folder), "remove the folder")
	time.Sleep(away)
	s.check(s.fleet.Start(h), "start")
}

func during(p *Proxy, m Mood, span time.Duration) {
	p.Set(m)
	time.Sleep(span)
	p.Set(MoodOpen)
}
