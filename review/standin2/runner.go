package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	seal        = "3e1b.07.5a2.600.0.c9f2a4d1"
	blockTokens = 16
)

// runner is a stand-in for a model runner of the stage decode. Its requests run in one batch, an event a step, and share its
// memory. When that runs out, the newest request is preempted, and read in again once there is room.
type runner struct {
	id       string
	service  string
	addr     string
	slots    int
	kvTokens int
	queueCap int
	step     time.Duration
	read     time.Duration
	control  []string
	// outputOf returns how many events the answer to a request has.
	outputOf func(id string) int
	record   *record
	server   *http.Server
	stopped  chan struct{}

	mu   sync.Mutex
	runs []*modelRun
	// history has all runs that were taken on, by request.
	history map[string][]*modelRun
}

// modelRun is a request at a runner.
type modelRun struct {
	id        string
	priority  int
	prompt    int
	output    int
	made      int
	running   bool
	readyAt   time.Time
	arrivedAt time.Time
	events    chan int
	// leftAt is when its channel was closed from the other end or it was complete; preempted counts the preemptions.
	leftAt    time.Time
	complete  bool
	preempted int
	// eventAt has the time of each event.
	eventAt []time.Time
}

func (r *modelRun) tokens() int {
	return (r.prompt + r.made + blockTokens - 1) / blockTokens * blockTokens
}

func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.history, r.stopped = map[string][]*modelRun{}, make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	go announce(&announcement{id: r.id, service: r.service, addr: r.addr, stage: "decode", slots: r.slots, control: r.control}, r.stopped)
	go r.steps()
	return nil
}

func (r *runner) stop() {
	close(r.stopped)
	_ = r.server.Close()
}

// steps makes an event for each running request at each step.
func (r *runner) steps() {
	ticker := time.NewTicker(r.step)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.makeStep(time.Now())
		case <-r.stopped:
			return
		}
	}
}

func (r *runner) used() int {
	used := 0
	for _, run := range r.runs {
		if run.running {
			used += run.tokens()
		}
	}
	return used
}

func (r *runner) makeStep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Requests run in the order of their arrival as far as memory allows.
	for _, run := range r.runs {
		if !run.running && r.runningCount() < r.slots && r.used()+run.tokens()+blockTokens <= r.kvTokens {
			run.running, run.readyAt = true, now.Add(r.read)
		}
	}
	for _, run := range append([]*modelRun{}, r.runs...) {
		if !run.running || now.Before(run.readyAt) {
			continue
		}
		for run.running && run.tokens() == run.prompt+run.made && r.used()+blockTokens > r.kvTokens {
			r.preemptNewest(now)
		}
		if !run.running {
			continue
		}
		run.made++
		run.eventAt = append(run.eventAt, now)
		run.events <- run.made
		if run.made == run.output {
			run.complete, run.leftAt = true, now
			close(run.events)
			r.remove(run)
		}
	}
}

func (r *runner) runningCount() int {
	n := 0
	for _, run := range r.runs {
		if run.running {
			n++
		}
	}
	return n
}

// preemptNewest takes the memory of the newest running request.
func (r *runner) preemptNewest(now time.Time) {
	for i := len(r.runs) - 1; i >= 0; i-- {
		if run := r.runs[i]; run.running {
			run.running = false
			run.preempted++
			r.record.at(now, "%s preempts %s after event %d", r.id, run.id, run.made)
			return
		}
	}
}

func (r *runner) remove(run *modelRun) {
	for i := range r.runs {
		if r.runs[i] == run {
			r.runs = append(r.runs[:i], r.runs[i+1:]...)
			return
		}
	}
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/order" || q.Header.Get("X-Serving-Stage") == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := r.takeOn(id, q)
	if run == nil {
		r.record.line("%s is full and rejects %s", r.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.stream(w, q, run)
}

// takeOn adds a request to the batch or the queue, or returns nil if the runner is full.
func (r *runner) takeOn(id string, q *http.Request) *modelRun {
	prompt, output, _ := strings.Cut(q.Header.Get("X-Token-Counts"), ",")
	run := &modelRun{id: id, arrivedAt: time.Now()}
	run.prompt, _ = strconv.Atoi(prompt)
	limit, _ := strconv.Atoi(output)
	run.output = min(limit, r.outputOf(id))
	run.made, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	run.events = make(chan int, run.output+1)
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := len(r.runs) - r.runningCount()
	if fits := r.used()+run.tokens()+blockTokens <= r.kvTokens; waiting >= r.queueCap && (waiting > 0 || !fits) {
		return nil
	}
	r.runs = append(r.runs, run)
	r.history[id] = append(r.history[id], run)
	r.record.line("%s takes on %s after event %d", r.id, id, run.made)
	return run
}

// stream sends the events as they are made. A request whose channel closes is dropped.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, run *modelRun) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", seal)
	w.Header().Set("X-Weight-Versions", "1")
	flusher, _ := w.(http.Flusher)
	for {
		select {
		case <-q.Context().Done():
			r.drop(run)
			return
		case n, ok := <-run.events:
			if !ok {
				r.record.line("%s ends %s with event %d", r.id, run.id, run.output)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"token\":%d}\n\n", n, n)
			flusher.Flush()
		}
	}
}

func (r *runner) drop(run *modelRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.complete {
		return
	}
	run.leftAt = time.Now()
	r.remove(run)
	state := "runs"
	if !run.running {
		state = "is preempted or queued"
	}
	run.running = false
	r.record.line("%s: the channel of %s was closed after event %d, while it %s", r.id, run.id, run.made, state)
}

// runsOf returns copies of a request's runs here. A run that has not ended has now as its end.
func (r *runner) runsOf(id string) []modelRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []modelRun
	for _, run := range r.history[id] {
		c := *run
		if c.leftAt.IsZero() {
			c.leftAt = time.Now()
		}
		runs = append(runs, c)
	}
	return runs
}
