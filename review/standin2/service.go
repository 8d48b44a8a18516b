package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serviceSlots = 6
	serviceTime  = 30 * time.Millisecond
	serviceBytes = 800
)

// serviceRunner is a stand-in for a runner of a plain service. It records the requests that it runs.
type serviceRunner struct {
	id, service, addr string
	control           []string
	answerBytes       int
	record            *record
	server            *http.Server
	stopped           chan struct{}

	mu sync.Mutex
	// runs has the number of runs of each request.
	runs map[string]int
}

func (r *serviceRunner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.runs, r.stopped = map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	go announce(&announcement{id: r.id, service: r.service, addr: r.addr, slots: serviceSlots, control: r.control}, r.stopped)
	return nil
}

func (r *serviceRunner) stop() {
	close(r.stopped)
	_ = r.server.Close()
}

func (r *serviceRunner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.record.line("%s runs %s %s, id %s, tenant %s, a body of %d bytes", r.id, q.Method, q.URL.Path, id, q.Header.Get("X-Tenant"), len(body))
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	time.Sleep(serviceTime)
	w.Header().Set("X-Response-Seal", seal)
	w.Header().Set("Content-Length", strconv.Itoa(r.answerBytes))
	_, _ = w.Write(make([]byte, r.answerBytes))
}

// runsOf returns how often a request ran here.
func (r *serviceRunner) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
