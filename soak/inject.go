package soak

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// drainTimeout is how long a host may take for a graceful shutdown.
const drainTimeout = 20 * time.Second

// signalInterval is the time between the two signals of FaultTermAfterTerm.
const signalInterval = 150 * time.Millisecond

// inject injects the events at their times, each in its own goroutine, and returns when all faults have ended.
func (s *soak) inject(events []Event) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(start.Add(e.At)))
		s.logEvent("fault %v", e)
		wg.Go(func() { s.injectEvent(e) })
	}
	wg.Wait()
}

func (s *soak) injectEvent(e Event) {
	h := s.fleet.Hosts[e.Target%len(s.fleet.Hosts)]
	upstreams := s.fleet.proxies[len(s.fleet.proxies)-len(s.fleet.engines)-1:]
	switch e.Fault {
	case FaultKill:
		s.restart(h, e.Duration, syscall.SIGKILL)
	case FaultKillAll:
		for _, h := range s.fleet.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range s.fleet.Hosts {
			s.restart(h, 0, syscall.SIGKILL)
		}
	case FaultPause:
		h.Signal(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		h.Signal(syscall.SIGCONT)
	case FaultTerm:
		s.restart(h, e.Duration, syscall.SIGTERM)
	case FaultTermAfterTerm:
		h.Signal(syscall.SIGTERM)
		time.Sleep(signalInterval)
		s.restart(h, e.Duration, syscall.SIGTERM)
	case FaultHup:
		h.Signal(syscall.SIGHUP)
	case FaultLoseDisk:
		s.loseDisk(h, e.Duration)
	case FaultPartition:
		setModeFor(h.hostsProxy, ModePartition, e.Duration)
	case FaultPartitionInbound:
		setModeFor(h.hostsProxy, ModePartitionInbound, e.Duration)
	case FaultDelay:
		setModeFor(h.hostsProxy, ModeDelay, e.Duration)
	case FaultReset:
		h.hostsProxy.Reset()
	case FaultBlackhole:
		h.hostsProxy.Blackhole()
	case FaultPartitionCallers:
		setModeFor(h.callersProxy, ModePartition, e.Duration)
	case FaultResetUpstreams:
		for _, p := range upstreams {
			p.Reset()
		}
	case FaultBlackholeUpstreams:
		for _, p := range upstreams {
			p.Blackhole()
		}
	case FaultPartitionUpstream:
		setModeFor(upstreams[e.Target%len(upstreams)], ModePartition, e.Duration)
	}
}

// restart terminates the process of a host by a signal and starts it again after the downtime.
func (s *soak) restart(h *Host, downtime time.Duration, sig syscall.Signal) {
	h.Signal(sig)
	h.AwaitExit(drainTimeout)
	time.Sleep(downtime)
	s.checkError(s.fleet.Start(h), "start")
}

func (s *soak) loseDisk(h *Host, downtime time.Duration) {
	h.Signal(syscall.SIGKILL)
	h.AwaitExit(drainTimeout)
	s.checkError(os.RemoveAll(h.dataDir), "remove the data directory")
	time.Sleep(downtime)
	s.checkError(s.fleet.Start(h), "start")
}

func setModeFor(p *Proxy, m ProxyMode, duration time.Duration) {
	p.SetMode(m)
	time.Sleep(duration)
	p.SetMode(ModeForward)
}
