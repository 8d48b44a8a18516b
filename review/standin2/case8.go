package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	contactTime = 3 * time.Second
	ackTimeout  = 4 * time.Second
	// replaceTime is the time after which an empty machine takes the place of the lost one.
	replaceTime = 2 * time.Second
	// ackWait is how long the first desired state is sent again and again.
	ackWait = 40 * time.Second
)

// playLostSeed starts the system for the first time and loses one of its core machines at once.
func playLostSeed(s *scenario) error {
	f, err := newFleet(siteCores, siteFronts)
	if err != nil {
		return err
	}
	s.fleet = f
	for _, m := range f.all() {
		if err := f.start(m, true); err != nil {
			return err
		}
		if m == f.cores[0] && s.trouble {
			s.record.line("%s (%s) is lost right after its start", m.name, m.ip)
			if err := m.signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	lostAt := time.Now()
	if s.trouble {
		time.Sleep(replaceTime)
		f.cores = f.cores[1:]
		m := f.addCore("core-6")
		if err := f.start(m, false); err != nil {
			return err
		}
		s.record.line("%s (%s) takes its place, with an empty disk", m.name, m.ip)
	}
	stableFrom := time.Now().Add(contactTime)
	s.record.line("the first desired state is sent to %d core machines in turn", len(f.cores))
	if err = f.putConfig(streamDocument(1), ackWait); err == nil {
		s.record.line("the first desired state is acknowledged %.1f s after the start", time.Since(lostAt).Seconds())
		return nil
	}
	s.record.line("%v", err)
	waited := time.Since(stableFrom)
	if waited < ackTimeout {
		return fmt.Errorf("the core was stable for %v only", waited)
	}
	if served := s.countServed(); served > 0 {
		return fmt.Errorf("%d requests were served without a desired state", served)
	}
	return fmt.Errorf("%w: FAULT: no desired state is acknowledged and no request is served, %.0f s after the core was stable", errBroken, waited.Seconds())
}

// countServed sends a request to each front and returns how many were answered with success.
func (s *scenario) countServed() int {
	served := 0
	for _, front := range s.fleet.fronts {
		c, err := openChannel(front)
		if err != nil {
			s.record.line("%s: %v", front.name, err)
			continue
		}
		if _, response, err := s.call(c, http.MethodPost, streamPrefix); err == nil && response.StatusCode == http.StatusOK {
			served++
		}
		c.close()
	}
	return served
}
