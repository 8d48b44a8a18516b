package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	promptTokens = 30_000
	longOutput   = 110
	shortOutput  = 3
	streamBudget = 14 * time.Second
	prefillCount = 3
	decodeCount  = 5
	// leaveDelay is how long after the prefill has begun the decode runner says that it leaves.
	leaveDelay = 200 * time.Millisecond
	// darkTime is how long a runner stays dark.
	darkTime = 4500 * time.Millisecond
	// patience is how long a client waits for a stream's first event: four times the objective.
	patience = 3600 * time.Millisecond
)

// leaveDuringPrefill lets a prefill runner go dark while it reads a prompt, and the decode runner that is to go on with the
// request leave at that time.
func leaveDuringPrefill(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, frontCount, coreCount)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	controls := c.controls()
	if err := putConfig(rec, controls, modelState(1)); err != nil {
		return false, err
	}
	p := &prefillCase{rec: rec, busy: map[string]bool{}, begun: make(chan struct{}), decoded: make(chan time.Time, 1)}
	e := &engines{rec: rec, handles: map[string]handle{}, onPrefill: func(s *server, id string) bool { return p.onPrefill(s, id, trouble) }, onDecode: p.onDecode}
	p.engines = e
	var decoders []*server
	for i := range prefillCount + decodeCount {
		s := &server{
			rec: rec, id: fmt.Sprintf("i-%d", i), service: modelService, stage: "prefill",
			addr: fmt.Sprintf("%s.%d:%d", c.prefix, 80+i, portServer), pick: func() string { return controls[i%len(controls)] },
		}
		if i >= prefillCount {
			s.stage = "decode"
			decoders = append(decoders, s)
		}
		s.respond = e.model(s)
		if _, err := startServer(s); err != nil {
			return false, err
		}
		defer s.close()
	}
	front := c.fronts[0]
	if err := awaitReady(front, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for range 2 {
		p.stream(front, newID(), shortOutput)
	}
	var streams sync.WaitGroup
	defer streams.Wait()
	p.forgetBusy()
	for range decodeCount - 1 {
		streams.Go(func() { p.stream(front, newID(), longOutput) })
		time.Sleep(1200 * time.Millisecond)
	}
	p.mu.Lock()
	p.last = newID()
	p.mu.Unlock()
	streams.Go(func() { p.stream(front, p.last, shortOutput) })
	select {
	case <-p.begun:
	case <-time.After(3 * time.Second):
		return false, fmt.Errorf("the prompt of the last request was not read")
	}
	time.Sleep(leaveDelay)
	free := p.free(decoders)
	if free == nil {
		return false, fmt.Errorf("not exactly one decode runner is free")
	}
	free.stopOnce.Do(func() { close(free.stop) })
	if !free.heartbeat("draining") {
		return false, fmt.Errorf("the runner's leave was not acknowledged")
	}
	acked := time.Now()
	rec.add("server %s leaves, acknowledged", free.id)
	defer func() {
		free.close()
		rec.add("server %s ends", free.id)
	}()
	select {
	case at := <-p.decoded:
		rec.add("the last request reached server %s %.3f s after the acknowledgement", p.decodedAt, at.Sub(acked).Seconds())
		time.Sleep(time.Until(acked.Add(drainTimeout + lingerTime)))
		return p.decodedAt == free.id && at.Sub(acked) > drainTimeout, nil
	case <-time.After(drainTimeout + lingerTime):
		return false, nil
	}
}

// prefillCase follows the requests of leaveDuringPrefill.
type prefillCase struct {
	rec     *record
	engines *engines
	begun   chan struct{}
	decoded chan time.Time

	mu        sync.Mutex
	last      string
	busy      map[string]bool
	decodedAt string
	dark      bool
}

func (p *prefillCase) onPrefill(s *server, id string, trouble bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != p.last || p.dark {
		return false
	}
	close(p.begun)
	p.dark = true
	if trouble {
		p.rec.add("server %s goes dark", s.id)
		s.goDark()
		time.AfterFunc(darkTime, func() { p.restart(s) })
	}
	return trouble
}

// restart ends a dark runner and starts it again under a new Id.
func (p *prefillCase) restart(old *server) {
	old.close()
	s := &server{rec: p.rec, id: old.id + "-2", service: old.service, stage: "prefill", addr: old.addr, pick: old.pick}
	s.respond = p.engines.model(s)
	if _, err := startServer(s); err != nil {
		p.rec.add("server %s can't start again: %v", old.id, err)
		return
	}
	p.rec.add("server %s starts again as %s", old.id, s.id)
}

func (p *prefillCase) onDecode(s *server, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == p.last {
		p.decodedAt = s.id
		p.decoded <- time.Now()
		return
	}
	p.busy[s.id] = true
}

// forgetBusy forgets the decode runners of the streams that have ended.
func (p *prefillCase) forgetBusy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.busy)
}

// free returns the decode runner that no long stream runs on, or nil unless there is one.
func (p *prefillCase) free(decoders []*server) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var free *server
	for _, s := range decoders {
		if p.busy[s.id] {
			continue
		}
		if free != nil {
			return nil
		}
		free = s
	}
	return free
}

// stream sends a request for a stream and reads it.
func (p *prefillCase) stream(m *machine, id string, output int) {
	ch, err := openChannel(m, 0)
	if err != nil {
		p.rec.add("client: %v", err)
		return
	}
	defer ch.close()
	p.rec.add("client: sends %s", id)
	a := ch.send(request{
		id: id, method: http.MethodPost, host: hostName, path: streamPath + "verse", body: "brief", budget: streamBudget,
		headers:  fmt.Sprintf("X-Model: m\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %s:%d\r\n", promptTokens, output, id[:8], promptTokens),
		patience: patience,
	})
	p.rec.add("client: %s: %v", id, a)
}
