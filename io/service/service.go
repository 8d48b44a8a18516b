package service

import (
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/upstream"
)

// Config is what a stand-in service is like.
type Config struct {
	ID         core.UpstreamID
	Pool       core.PoolID
	DataCentre core.DataCentre
	Listen     netip.AddrPort
	// Advertised is the address that the service announces, if that is not the one at which it listens.
	Advertised netip.AddrPort
	Hosts      []netip.AddrPort
	Secret     string
	Slots      int
	// Time is how long a call takes.
	Time time.Duration
}

// Faults can be switched on while a service runs.
type Faults struct {
	// CloseAfterRun carries each call out and closes the connection without an answer.
	CloseAfterRun bool `json:"closeAfterRun"`
}

// PathFaults takes Faults as JSON; it is not part of the protocol.
const PathFaults = "/standin/v1/faults"

// maxSeenBytes bounds the text of requests that is kept.
const maxSeenBytes = 1 << 20

// Service is a running stand-in.
type Service struct {
	config    Config
	http      *fasthttp.Server
	listener  net.Listener
	announcer *upstream.Announcer

	mu     sync.Mutex
	faults Faults
	// runs counts the calls that changed something, by body.
	runs map[string]int
	// started is the body of the call that came last.
	started string
	// leaked counts calls that came with a credential that is not the system's.
	leaked int
	// seen is the text of the latest requests, to look for a caller's key in it.
	seen strings.Builder
}

// Answer is what the stand-in says.
type Answer struct {
	Service core.UpstreamID `json:"service"`
	Path    string          `json:"path"`
	// Run is how often a call with this body has run.
	Run int `json:"run"`
}

// Start runs a service until Stop.
func Start(c Config) (*Service, error) {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	if c.Advertised.IsValid() {
		addr = c.Advertised
	}
	s := &Service{config: c, listener: l, runs: map[string]int{}}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	s.announcer = &upstream.Announcer{
		Announcement: core.Announcement{
			ID: c.ID, Pool: c.Pool, Role: core.RoleService, Addr: addr,
			DataCentre: c.DataCentre, Incarnation: uint64(time.Now().UnixMilli()), Slots: c.Slots,
		},
		Hosts: c.Hosts, Secret: c.Secret,
	}
	go func() { _ = s.http.Serve(l) }()
	s.announcer.Start()
	return s, nil
}

// Addr returns where the service listens.
func (s *Service) Addr() netip.AddrPort { return s.announcer.Announcement.Addr }

// Stop says goodbye and ends the service.
func (s *Service) Stop() {
	s.announcer.Stop()
	_ = s.listener.Close()
	_ = s.http.Shutdown()
}

// SetFaults switches faults on and off.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often a call with this body has run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Started returns the body of the call that came last, which may still be under way.
func (s *Service) Started() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Leaked returns how many calls came with a credential that is not the system's.
func (s *Service) Leaked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaked
}

// Seen returns the text of the latest requests.
func (s *Service) Seen() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.String()
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathFaults {
		s.takeFaults(ctx)
		return
	}
	s.mu.Lock()
	s.started = string(ctx.PostBody())
	s.mu.Unlock()
	time.Sleep(s.config.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	auth := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if auth != "" && auth != "Bearer "+s.config.Secret {
		s.leaked++
	}
	if s.seen.Len() > maxSeenBytes {
		s.seen.Reset()
	}
	_, _ = s.seen.WriteString(ctx.Request.String())
	body := string(ctx.PostBody())
	if !ctx.IsGet() {
		s.runs[body]++
	}
	if s.faults.CloseAfterRun {
		_ = ctx.Conn().Close()
		return
	}
	text, err := json.Marshal(Answer{Service: s.config.ID, Path: string(ctx.Path()), Run: s.runs[body]})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetBytesV(upstream.HeaderAttempt, ctx.Request.Header.Peek(upstream.HeaderAttempt))
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (s *Service) takeFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
