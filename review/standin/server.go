package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	defaultSlots      = 64
)

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// server is a stand-in for one boot of a plain service's runner.
type server struct {
	rec     *record
	id      string
	service string
	addr    string
	born    int64
	// pick returns the control address for the next call, as a caller of control picks among those that serve it.
	pick func() string
	// respond answers a request that is run.
	respond http.HandlerFunc
	// stage is the stage of a model runner, empty for a plain service.
	stage string
	// slots is how many requests the server runs at once; zero stands for defaultSlots.
	slots int

	listener net.Listener
	http     *http.Server
	stop     chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	sequence int
	arrivals []arrival
	// isDark is true once the server answers nothing any more.
	isDark bool
	// switching is true while an order is carried out; fence is the highest fence number of an order.
	switching bool
	fence     uint64
}

// startServer listens, registers the server and goes on with its heartbeats.
func startServer(s *server) (*server, error) {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	s.listener, s.stop, s.born = l, make(chan struct{}), time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(l) }()
	go s.heartbeats()
	return s, nil
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if s.dark() {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		s.rec.add("server %s answers request %s with 421", s.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/order" && s.stage != "" {
		s.order(w, r)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.isSwitching() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	s.respond(w, r)
}

// goDark makes the server silent: it answers nothing and sends no heartbeats.
func (s *server) goDark() {
	s.mu.Lock()
	s.isDark = true
	s.mu.Unlock()
	s.stopOnce.Do(func() { close(s.stop) })
}

func (s *server) dark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDark
}

func (s *server) isSwitching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switching
}

// heartbeats sends heartbeats until the server ends.
func (s *server) heartbeats() {
	for {
		s.heartbeat("ready")
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) heartbeat(state string) bool {
	s.mu.Lock()
	s.sequence++
	body := map[string]any{
		"Service": s.service, "Address": s.addr, "Zone": "abdali", "Version": "v1", "Slots": cmp.Or(s.slots, defaultSlots), "State": state,
		"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
	}
	if s.stage != "" {
		body["Stage"] = s.stage
		body["Models"] = []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}
	}
	s.mu.Unlock()
	return s.call("/Instances.Heartbeat/"+s.id, body)
}

// deregister tells the system that the server leaves, and reports whether that was acknowledged.
func (s *server) deregister() bool {
	return s.call("/Instances.Deregister/"+s.id, map[string]any{"born": s.born})
}

// call calls a control address and goes on to another one after a failure.
func (s *server) call(path string, body any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for range 4 {
		to := s.pick()
		if status, _ := post(to, path, text, time.Second); status/100 == 2 {
			s.rec.add("server %s (born %d) calls %s at %s: %d", s.id, s.born, path[:strings.LastIndex(path, "/")], to, status)
			return true
		}
	}
	s.rec.add("server %s (born %d) calls %s: no acknowledgement", s.id, s.born, path)
	return false
}

// close ends the server as a process that ends does: its channels are closed.
func (s *server) close() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.http.Close()
}

// since returns the requests that reached the server after a time.
func (s *server) since(at time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}

// post sends a JSON body and returns the status, or 0 without a response.
func post(addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, text
}

// putConfig sends a desired state to one control address after the other until it is acknowledged.
func putConfig(rec *record, controls []string, state map[string]any) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		status, answer := post(controls[i%len(controls)], "/Config.Put", text, 3*time.Second)
		if status == http.StatusOK {
			rec.add("operator: desired state %v is acknowledged", state["Version"])
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("the desired state was refused with %d: %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the desired state")
}

// awaitReady waits until a front machine is ready.
func awaitReady(m *machine, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if isReady(m) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("front %s does not become ready", m.ip)
}

func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
