package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelService = "huvo11a"
	streamPath   = "/lohu930/"
	// prefillTokensPerMs is how fast a model runner reads a prompt; a decode runner reads half as fast.
	prefillTokensPerMs = 33
	// switchTime is how long a model runner takes to change its stage.
	switchTime = 6 * time.Second
)

// modelState returns a desired state with a streaming route to a service of model runners.
func modelState(version int) map[string]any {
	state := desiredState(version, "unsafe", orderBudget)
	state["Routes"] = append(state["Routes"].([]any), map[string]any{
		"Name": "r-8m82thh", "Host": hostName, "PathPrefix": streamPath, "Kind": "streaming", "TimeoutMs": 14000, "TargetLatencyMs": 900,
		"Priority": 1, "Service": modelService, "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "GapTargetMs": 300,
	})
	state["Services"] = append(state["Services"].([]any), map[string]any{
		"Name": modelService, "HealthPath": "/healthz", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{
			"Slots": 64, "KvTokens": 43304, "TokenKvBytes": 163840, "LinkMbps": 1400000.0, "Moves": true, "Backups": true, "Stride": 14,
			"most": 12, "HandleTtlS": 0.5, "SwitchS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []any{map[string]any{"Name": "m"}},
		},
	})
	tenant := state["Tenants"].([]any)[0].(map[string]any)
	tenant["RatePerS"], tenant["Burst"] = 400_000, 400_000
	return state
}

// handleTime is how long a prefill runner keeps what it has read.
const handleTime = 500 * time.Millisecond

// handle is a prompt that a prefill runner keeps.
type handle struct {
	id      string
	expires time.Time
}

// engines is the memory that the model runners of a service move between each other.
type engines struct {
	rec *record

	mu sync.Mutex
	// handles has the prompts that prefill runners keep, by address and handle.
	handles map[string]handle
	// onPrefill is called when the prefill of a request begins and reports whether its runner goes dark.
	onPrefill func(s *server, id string) bool
	// onDecode is called when a request reaches a decode runner.
	onDecode func(s *server, id string)
}

// model answers a request at a model runner.
func (e *engines) model(s *server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		prompt, output := tokenCounts(r)
		id := r.Header.Get("X-Request-Id")
		isPrefill := r.Header.Get("X-Serving-Stage") == "prefill"
		if isPrefill != (s.currentStage() == "prefill") {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if isPrefill {
			e.prefill(s, w, r, id, prompt)
			return
		}
		e.decode(s, w, r, id, prompt, output)
	}
}

func (e *engines) prefill(s *server, w http.ResponseWriter, r *http.Request, id string, prompt int) {
	e.rec.add("server %s begins to read the prompt of %s", s.id, id)
	if e.onPrefill(s, id) {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(prompt/prefillTokensPerMs) * time.Millisecond)
	name := fmt.Sprintf("%012x", rand.Uint64()>>16)
	e.mu.Lock()
	e.handles[s.addr+"/"+name] = handle{id: id, expires: time.Now().Add(handleTime)}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"KvHandle":%q,"Tokens":%d,"Version":1}`, name, prompt)
}

func (e *engines) decode(s *server, w http.ResponseWriter, r *http.Request, id string, prompt, output int) {
	source := r.Header.Get("X-Kv-Source")
	e.rec.add("server %s gets %s to decode, memory at %q", s.id, id, source)
	e.onDecode(s, id)
	if source != "" {
		e.mu.Lock()
		kept := e.handles[source]
		delete(e.handles, source)
		e.mu.Unlock()
		if time.Now().After(kept.expires) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		time.Sleep(2 * time.Duration(prompt/prefillTokensPerMs) * time.Millisecond)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Response-Seal", "s."+id)
	for i := 1; i <= output && r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(tokenTime)
	}
}

// tokenTime is the time between two events of a stream.
const tokenTime = 100 * time.Millisecond

func tokenCounts(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// order carries out an order that changes the stage of a model runner.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation, Stage, Holder string
		FencingToken             uint64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Operation != "Stage" || body.Holder == "" || body.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := s.acceptOrder(body.Stage, body.FencingToken)
	s.rec.add("server %s is ordered by %s (fence %d) to change its stage to %s: %d", s.id, body.Holder, body.FencingToken, body.Stage, status)
	w.WriteHeader(status)
}

func (s *server) acceptOrder(stage string, fence uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case fence < s.fence:
		return http.StatusPreconditionFailed
	case s.switching:
		return http.StatusConflict
	}
	s.fence = fence
	if stage == s.stage {
		return http.StatusOK
	}
	s.switching = true
	time.AfterFunc(switchTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stage, s.switching = stage, false
	})
	return http.StatusAccepted
}

func (s *server) currentStage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}
