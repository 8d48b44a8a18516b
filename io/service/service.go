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

// Config describes a stand-in service.
type Config struct {
	ID         core.UpstreamID
	Pool       core.PoolID
	DataCentre core.DataCentre
	Listen     netip.AddrPort
	// Advertised is the address that the service announces; if it is not set, the service announces its listener's.
	Advertised netip.AddrPort
	Hosts      []netip.AddrPort
	Secret     string
	Slots      int
	// CallDuration is the duration of a call.
	CallDuration time.Duration
}

// Faults are the faults that a service injects; they can be changed while it runs.
type Faults struct {
	// CloseAfterExecution closes the connection after each call is executed, without a response.
	CloseAfterExecution bool `json:"closeAfterRun"`
	// RejectRequests responds to every call with status 503 and does not execute it.
	RejectRequests bool `json:"refuse"`
	upstream.Said
}

// PathFaults accepts Faults as JSON; it is not part of the upstream protocol.
const PathFaults = "/standin/v1/faults"

// maxRecentBytes limits the size of recentRequests; the text is cleared once it is exceeded.
const maxRecentBytes = 1 << 20

// Service is a running stand-in service.
type Service struct {
	config    Config
	http      *fasthttp.Server
	listener  net.Listener
	announcer *upstream.Announcer

	mu     sync.Mutex
	faults Faults
	// callCounts counts the calls with a method other than GET by body.
	callCounts map[string]int
	// lastBody is the body of the call that arrived last.
	lastBody string
	// foreignCredentials counts calls with a credential other than the upstream secret.
	foreignCredentials int
	// recentRequests is the text of recent requests; checks search it for callers' API keys.
	recentRequests strings.Builder
}

// Response is the body of the stand-in's responses.
type Response struct {
	Service core.UpstreamID `json:"service"`
	Path    string          `json:"path"`
	// CallCount is the number of executed calls with this body.
	CallCount int `json:"run"`
}

// Start starts a service, which runs until Stop.
func Start(c Config) (*Service, error) {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	if c.Advertised.IsValid() {
		addr = c.Advertised
	}
	s := &Service{config: c, listener: l, callCounts: map[string]int{}}
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

// Addr returns the address that the service announces.
func (s *Service) Addr() netip.AddrPort { return s.announcer.Announcement.Addr }

// Stop announces that the service is leaving and shuts it down.
func (s *Service) Stop() {
	s.announcer.Stop()
	_ = s.listener.Close()
	_ = s.http.Shutdown()
}

// SetFaults replaces the faults that the service injects.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CallCount returns the number of executed calls with this body.
func (s *Service) CallCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[body]
}

// LastBody returns the body of the call that arrived last, which may still be running.
func (s *Service) LastBody() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastBody
}

// ForeignCredentials returns the number of calls with a credential other than the upstream secret.
func (s *Service) ForeignCredentials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreignCredentials
}

// RecentRequests returns the text of recent requests.
func (s *Service) RecentRequests() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentRequests.String()
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathFaults {
		s.handleFaults(ctx)
		return
	}
	s.mu.Lock()
	s.lastBody = string(ctx.PostBody())
	s.mu.Unlock()
	time.Sleep(s.config.CallDuration)
	s.mu.Lock()
	defer s.mu.Unlock()
	auth := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if auth != "" && auth != "Bearer "+s.config.Secret {
		s.foreignCredentials++
	}
	if s.recentRequests.Len() > maxRecentBytes {
		s.recentRequests.Reset()
	}
	_, _ = s.recentRequests.WriteString(ctx.Request.String())
	defer func() { s.faults.SetHeaders(&ctx.Response.Header) }()
	if s.faults.RejectRequests {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body := string(ctx.PostBody())
	if !ctx.IsGet() {
		s.callCounts[body]++
	}
	if s.faults.CloseAfterExecution {
		_ = ctx.Conn().Close()
		return
	}
	text, err := json.Marshal(Response{Service: s.config.ID, Path: string(ctx.Path()), CallCount: s.callCounts[body]})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetBytesV(upstream.HeaderAttempt, ctx.Request.Header.Peek(upstream.HeaderAttempt))
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (s *Service) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
