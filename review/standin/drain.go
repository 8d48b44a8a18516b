package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"
)

const (
	hostName  = "ficu95.example"
	routePath = "/puxa403/"
	service   = "wuno96b"
)

// desiredState returns a desired state with one route to a plain service.
func desiredState(version int, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-26tta82", "Host": hostName, "PathPrefix": routePath, "Kind": kind, "TimeoutMs": timeout.Milliseconds(),
			"TargetLatencyMs": 150, "Priority": 2, "Service": service, "MaxAttempts": 1, "Public": false,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "token_stream", "PlainTokens": 200,
			"RatePerS": 42857, "Burst": 42857,
		}},
	}
}

const (
	largeAnswerBytes = 10_000_000
	clientRate       = 2_000_000
	drainBudget      = 14 * time.Second
	graceS           = 8 * time.Second
)

// drainLargeAnswer stops a front machine with SIGTERM while a client reads a large answer steadily on a slow line.
func drainLargeAnswer(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, frontCount, coreCount)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	if err := putConfig(rec, c.controls(), desiredState(1, "unsafe", drainBudget)); err != nil {
		return false, err
	}
	controls := c.controls()
	s, err := startServer(&server{
		rec: rec, id: "i-7f3a91c2", service: service, addr: fmt.Sprintf("%s.80:%d", c.prefix, portServer),
		pick: func() string { return controls[0] },
		respond: func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			size := 800
			if r.URL.Path == routePath+"large" {
				size = largeAnswerBytes
			}
			w.Header().Set("X-Response-Seal", "s."+id)
			w.Header().Set("Content-Length", strconv.Itoa(size))
			n, err := io.CopyN(w, zeros{}, int64(size))
			rec.add("server: ran %s %s, wrote %d of %d bytes (%v)", r.Method, id, n, size, err)
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	front := c.fronts[0]
	if err := awaitReady(front, 20*time.Second); err != nil {
		return false, err
	}
	ch, err := openChannel(front, clientRate)
	if err != nil {
		return false, err
	}
	defer ch.close()
	first := ch.send(request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "small", budget: drainBudget})
	rec.add("client: first answer on the kept channel: %v", first)
	if first.err != nil || first.status != http.StatusOK {
		return false, fmt.Errorf("the first request was not served")
	}
	time.Sleep(contactTime)
	stopped := terminate(rec, front, trouble)
	time.Sleep(2500 * time.Millisecond)
	r := request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "large", budget: drainBudget}
	rec.add("client: sends %s on the kept channel, %.3f s after the SIGTERM", r.id, time.Since(stopped).Seconds())
	a := ch.send(r)
	rec.add("client: answer to %s: %v; %.3f s after the SIGTERM, of a grace time of %v", r.id, a, time.Since(stopped).Seconds(), graceS)
	return isLost(s, r.id, stopped, a), nil
}

const (
	slowOrderWork = 4200 * time.Millisecond
	// lateSend is when the client sends its slow order, after the SIGTERM.
	lateSend = 3500 * time.Millisecond
)

// drainSlowOrder stops a front machine with SIGTERM and sends it, before it ends, an order that takes some seconds.
func drainSlowOrder(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, frontCount, coreCount)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	controls := c.controls()
	if err := putConfig(rec, controls, desiredState(1, "unsafe", drainBudget)); err != nil {
		return false, err
	}
	s, err := startServer(&server{
		rec: rec, id: "i-7f3a91c2", service: service, addr: fmt.Sprintf("%s.80:%d", c.prefix, portServer),
		pick: func() string { return controls[0] },
		respond: func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			if r.URL.Path == routePath+"slow" {
				time.Sleep(slowOrderWork)
			}
			w.Header().Set("X-Response-Seal", "s."+id)
			_, _ = w.Write([]byte("printed"))
			rec.add("server: ran %s %s %s, deadline given %s ms, caller gone: %v", r.Method, r.URL.Path, id, r.Header.Get("X-Deadline-Ms"), r.Context().Err())
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	front := c.fronts[0]
	if err := awaitReady(front, 20*time.Second); err != nil {
		return false, err
	}
	ch, err := openChannel(front, 0)
	if err != nil {
		return false, err
	}
	defer ch.close()
	first := ch.send(request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "quick", budget: drainBudget})
	rec.add("client: first answer on the kept channel: %v", first)
	if first.err != nil || first.status != http.StatusOK {
		return false, fmt.Errorf("the first request was not served")
	}
	time.Sleep(contactTime)
	stopped := terminate(rec, front, trouble)
	time.Sleep(lateSend)
	r := request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "slow", body: "one card", budget: drainBudget}
	rec.add("client: sends %s on the kept channel, %.3f s after the SIGTERM", r.id, time.Since(stopped).Seconds())
	a := ch.send(r)
	rec.add("client: answer to %s: %v; %.3f s after the SIGTERM, of a grace time of %v", r.id, a, time.Since(stopped).Seconds(), graceS)
	return isLost(s, r.id, stopped, a), nil
}

// isLost reports whether a request was passed on to the server and its channel ended without a complete answer, before its time
// budget and within the time in which a SIGTERM counts as planned work.
func isLost(s *server, id string, stopped time.Time, a answer) bool {
	passedOn := slices.ContainsFunc(s.since(stopped), func(arrived arrival) bool { return arrived.id == id })
	return passedOn && a.err != nil && a.took < drainBudget && time.Since(stopped) < graceS+time.Second
}

const (
	// longOrderWork keeps the only slot of the server busy until after the grace time.
	longOrderWork = 12 * time.Second
	// longTarget is the response-time goal of a route whose requests may wait for a free slot.
	longTarget = 10 * time.Second
	// longOrderLead and waitingLead are how long before the SIGTERM the order that runs and the one that waits are sent.
	longOrderLead = 1500 * time.Millisecond
	waitingLead   = 500 * time.Millisecond
)

// drainWaitingOrder stops a front machine with SIGTERM while an order waits there for a free slot.
func drainWaitingOrder(rec *record, trouble bool) (bool, error) {
	c, err := startCluster(rec, frontCount, coreCount)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	controls := c.controls()
	state := desiredState(1, "unsafe", drainBudget)
	state["Routes"].([]any)[0].(map[string]any)["TargetLatencyMs"] = longTarget.Milliseconds()
	if err := putConfig(rec, controls, state); err != nil {
		return false, err
	}
	s, err := startServer(&server{
		rec: rec, id: "i-7f3a91c2", service: service, addr: fmt.Sprintf("%s.80:%d", c.prefix, portServer), slots: 1,
		pick: func() string { return controls[0] },
		respond: func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			rec.add("server: begins %s %s", r.URL.Path, id)
			if r.URL.Path == routePath+"long" {
				select {
				case <-time.After(longOrderWork):
				case <-r.Context().Done():
					rec.add("server: the caller of %s is gone", id)
				}
			}
			w.Header().Set("X-Response-Seal", "s."+id)
			_, _ = w.Write([]byte("printed"))
		},
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	front := c.fronts[0]
	if err := awaitReady(front, 20*time.Second); err != nil {
		return false, err
	}
	var channels []*channel
	for range 2 {
		ch, err := openChannel(front, 0)
		if err != nil {
			return false, err
		}
		defer ch.close()
		first := ch.send(request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "quick", budget: drainBudget})
		rec.add("client: first answer on a kept channel: %v", first)
		if first.err != nil || first.status != http.StatusOK {
			return false, fmt.Errorf("a first request was not served")
		}
		channels = append(channels, ch)
	}
	time.Sleep(contactTime)
	answers := make(chan answer, 1)
	waiting := request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "order", body: "one card", budget: drainBudget}
	go channels[0].send(request{id: newID(), method: http.MethodPost, host: hostName, path: routePath + "long", body: "many cards", budget: drainBudget})
	time.Sleep(longOrderLead - waitingLead)
	rec.add("client: sends %s, while the only slot is taken", waiting.id)
	go func() { answers <- channels[1].send(waiting) }()
	time.Sleep(waitingLead)
	stopped := terminate(rec, front, trouble)
	a := <-answers
	rec.add("client: answer to %s: %v; %.3f s after the SIGTERM, of a grace time of %v", waiting.id, a, time.Since(stopped).Seconds(), graceS)
	passedOn := slices.ContainsFunc(s.since(stopped.Add(-waitingLead)), func(arrived arrival) bool { return arrived.id == waiting.id })
	rec.add("the order was passed on: %t", passedOn)
	return a.err != nil && a.took > lossSlack && a.took < drainBudget && time.Since(stopped) < graceS+time.Second, nil
}

// lossSlack is LossSlackMs.
const lossSlack = 200 * time.Millisecond

// contactTime is ContactMs: how long a case is undisturbed before its planned work.
const contactTime = 3 * time.Second

// terminate sends SIGTERM to a machine, unless the disruption is left out, and SIGKILL after the grace time.
func terminate(rec *record, m *machine, trouble bool) time.Time {
	stopped := time.Now()
	if !trouble {
		return stopped
	}
	rec.add("platform: SIGTERM to the front machine %s", m.ip)
	m.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-m.exited:
			rec.add("front machine: the process has ended, %.3f s after SIGTERM", time.Since(stopped).Seconds())
		case <-time.After(graceS):
			rec.add("platform: SIGKILL to the front machine %s", m.ip)
			m.signal(syscall.SIGKILL)
		}
	}()
	return stopped
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}
