package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment of case 6 has the figures of the site sahten-amman.
const (
	streamHost    = "ficu95.example"
	streamPrefix  = "/lohu930/"
	streamService = "huvo11a"
	tenantName    = "hule930"
	apiKey        = "i9n73hh2b9wu3fexd9dn"
	siteCores     = 5
	siteFronts    = 7
	streamRunners = 9
	kvTokens      = 43_304
	runnerSlots   = 64
	runnerQueue   = 2
	promptTokens  = 3_000
	maxOutput     = 170
	lowHint       = 20
	targetMs      = 900
	gapMs         = 300
	streamTimeout = 14 * time.Second
	eventPause    = 40 * time.Millisecond
	readTime      = 180 * time.Millisecond
)

// maxStreamGap is how long clients wait for an event: the longest of two seconds, four objectives and eight pauses.
const maxStreamGap = 4 * targetMs * time.Millisecond

const (
	// A wave fills the runners: each holds streamsPerRunner requests by their hints. lastGroup of them, one for each runner, come
	// last and at one front.
	streamsPerRunner = 14
	lastGroup        = streamRunners
	sendPause        = 2 * time.Millisecond
	groupPause       = 300 * time.Millisecond
	// termDelay is the time from the start of the wave to the SIGTERM.
	termDelay      = 2 * time.Second
	settleTime     = 3 * time.Second
	longRequestS   = 3
	lastGraceShare = 6
	budgetMargin   = 100 * time.Millisecond
)

// streamLoad is the requests of case 6.
type streamLoad struct {
	s *scenario

	mu       sync.Mutex
	requests map[string]*request
}

// playPreempted stops a front while runners preempt some of its streams, since the hints of their lengths were too low.
func playPreempted(s *scenario) error {
	var err error
	if s.fleet, err = startFleet(siteCores, siteFronts); err != nil {
		return err
	}
	load := &streamLoad{s: s, requests: map[string]*request{}}
	runners, err := s.startRunners(load.outputOf)
	defer func() {
		for _, r := range runners {
			r.stop()
		}
	}()
	if err != nil {
		return err
	}
	if err := s.fleet.putConfig(streamDocument(1), readyWait); err != nil {
		return err
	}
	if err := s.fleet.waitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	front := s.fleet.fronts[0]
	var clients sync.WaitGroup
	begun := time.Now()
	for i := range streamRunners * streamsPerRunner {
		at := s.fleet.fronts[i%siteFronts]
		if i >= streamRunners*streamsPerRunner-lastGroup {
			if at = front; i == streamRunners*streamsPerRunner-lastGroup {
				time.Sleep(groupPause)
			}
		}
		clients.Go(func() { load.send(at) })
		time.Sleep(sendPause)
	}
	time.Sleep(time.Until(begun.Add(termDelay)))
	stoppedAt := time.Now()
	s.record.at(stoppedAt, "SIGTERM to %s", front.name)
	if err := front.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-front.exited:
		s.record.line("%s has ended", front.name)
	case <-time.After(graceS * time.Second):
		s.record.line("SIGKILL to %s after the grace time", front.name)
		_ = front.signal(syscall.SIGKILL)
	}
	clients.Wait()
	return load.judge(front, stoppedAt, runners)
}

func (s *scenario) startRunners(outputOf func(string) int) ([]*runner, error) {
	var runners []*runner
	for i := range streamRunners {
		r := &runner{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: streamService, addr: fmt.Sprintf("%s:%d", s.fleet.ips.next(), runnerPort),
			slots: runnerSlots, kvTokens: kvTokens, queueCap: runnerQueue, step: eventPause, read: readTime, control: s.fleet.control(),
			outputOf: outputOf, record: s.record,
		}
		if err := r.start(); err != nil {
			return runners, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

func streamDocument(version int) string {
	text, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-8m82thh", "Host": streamHost, "PathPrefix": streamPrefix, "Kind": "streaming",
			"TimeoutMs": streamTimeout.Milliseconds(), "TargetLatencyMs": targetMs, "Priority": 1, "Service": streamService,
			"MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapTargetMs": gapMs,
		}},
		"Services": []map[string]any{{
			"Name": streamService, "HealthPath": "/healthz", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{
				"Slots": runnerSlots, "KvTokens": kvTokens, "TokenKvBytes": 163_840, "LinkMbps": 1_400_000.0, "Moves": true, "Backups": true,
				"Stride": 14, "most": 12, "HandleTtlS": 0.5, "SwitchS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0,
				"Models": []map[string]any{{"Name": "m"}},
			},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants": []map[string]any{{"Name": tenantName, "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200}},
	})
	return string(text)
}

// outputOf returns the number of events of a request's answer.
func (l *streamLoad) outputOf(string) int { return maxOutput }

// newRequest returns a request. Its hint is too low if the runners' memory shall run out.
func (l *streamLoad) newRequest(front *machine) *request {
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), front: front, output: maxOutput, hint: maxOutput, deadline: streamTimeout}
	if l.s.trouble {
		q.hint = lowHint
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[q.id] = q
	return q
}

// send sends a request on a channel of its own and records what became of it.
func (l *streamLoad) send(front *machine) {
	q := l.newRequest(front)
	c, err := openChannel(front)
	if err != nil {
		q.result, q.detail = resultNoChannel, err.Error()
		return
	}
	defer c.close()
	c.stream(q, streamPrefix+"2f", streamHost, apiKey, promptTokens, maxOutput, maxStreamGap)
	l.s.record.at(q.endedAt, "%s at %s, sent at %.3f, %d of %d events, the last at %.3f: %s %s", q.id, q.front.name,
		q.sentAt.Sub(l.s.record.start).Seconds(), len(q.events), q.output, q.lastEventAt().Sub(l.s.record.start).Seconds(), q.describe(), q.detail)
}

func (q *request) describe() string {
	if q.result == resultStatus {
		return fmt.Sprint(q.result, " ", q.status)
	}
	return q.result
}

// judge looks for requests that were cut around the SIGTERM of their front and that no excuse of the rule covers.
func (l *streamLoad) judge(front *machine, stoppedAt time.Time, runners []*runner) error {
	var broken []string
	counts := map[string]int{}
	for _, q := range l.requests {
		counts[q.front.name+" "+q.describe()]++
		if q.front != front || (q.result != resultCut && q.result != resultCutSilent) {
			continue
		}
		reason := l.excuse(q, stoppedAt, runners)
		if reason == "" {
			broken = append(broken, q.id)
			reason = "no excuse"
		}
		l.s.record.line("%s was cut %.3f s after the SIGTERM and %.3f s after its last event: %s", q.id,
			q.endedAt.Sub(stoppedAt).Seconds(), q.endedAt.Sub(q.lastEventAt()).Seconds(), reason)
	}
	l.s.record.line("results: %v", counts)
	if len(broken) > 0 {
		return fmt.Errorf("%w: LOST: %d requests without an excuse: %s", errBroken, len(broken), strings.Join(broken, " "))
	}
	return nil
}

// excuse returns why a cut request does not break the rule, or nothing.
func (l *streamLoad) excuse(q *request, stoppedAt time.Time, runners []*runner) string {
	graceEnd := stoppedAt.Add(graceS * time.Second)
	lastSixth := graceEnd.Add(-graceS * time.Second / lastGraceShare)
	passedOn := false
	for _, r := range runners {
		for _, run := range r.runsOf(q.id) {
			passedOn = true
			if run.arrivedAt.Before(graceEnd) && run.leftAt.After(lastSixth) && !q.sentAt.After(stoppedAt.Add(longRequestS*time.Second)) {
				return "the runner was still at work in the last sixth of the grace time"
			}
		}
	}
	switch {
	case q.endedAt.Before(stoppedAt) || q.endedAt.After(graceEnd.Add(time.Second)):
		return "not around planned work"
	case q.endedAt.Sub(q.sentAt) >= streamTimeout-budgetMargin:
		return "the time budget was reached"
	case !passedOn:
		return "not passed on"
	}
	return ""
}
