package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/settings"
	"oleanderlever/io/socket"
	"oleanderlever/io/upstream"
)

const (
	rank = 40
	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
	// stallTimeout is how long a caller may take none of an answer before its connection is closed.
	stallTimeout = 30 * time.Second
	bootIDBytes  = 6
)

func init() { control.Register(control.Peer{Name: "caller", Rank: rank, Open: open}) }

// server serves callers.
type server struct {
	loop     *control.Loop
	client   *upstream.Client
	settings *settings.Host
	log      zerolog.Logger
	state    atomic.Pointer[core.PublishState]
	boot     string
	next     atomic.Uint64

	mu        sync.Mutex
	exchanges map[core.RequestID]*exchange
}

func open(h *control.Host) (control.Instance, error) {
	if !h.Settings.HasRole(settings.RoleEntry) || !h.Settings.Listen.Callers.IsValid() {
		return control.Instance{}, nil
	}
	l, err := net.Listen("tcp", h.Settings.Listen.Callers.String())
	if err != nil {
		return control.Instance{}, errors.Wrap(err, "listen.callers")
	}
	s := &server{
		loop: h.Loop, client: upstream.NewClient(h.Settings.Credentials.UpstreamSecret), settings: h.Settings, log: h.Log,
		boot: newBootID(h.Settings.Host), exchanges: map[core.RequestID]*exchange{},
	}
	s.state.Store(&core.PublishState{Tables: &core.Tables{}})
	web := s.web()
	return control.Instance{
		Start: func() { go func() { _ = web.Serve(socket.WatchedListener{Listener: l, Stall: stallTimeout}) }() },
		Do:    s.perform,
		Close: func() {
			_ = l.Close()
			_ = web.Shutdown()
		},
	}, nil
}

func (s *server) web() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleError, StreamRequestBody: true,
		MaxRequestBodySize: s.settings.Requests.MaxBodyBytes, ReadTimeout: s.settings.Requests.ReadTimeout.Duration,
		IdleTimeout: idleTimeout, NoDefaultServerHeader: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true,
	}
}

// newBootID makes request IDs unlike those of an earlier start of the same host.
func newBootID(host string) string {
	var b [bootIDBytes]byte
	_, _ = rand.Read(b[:])
	return host + "-" + hex.EncodeToString(b[:]) + "-"
}

// perform passes the core's instructions on to the exchange that they are for.
func (s *server) perform(a core.Action) {
	switch a := a.(type) {
	case core.PublishState:
		s.state.Store(&a)
	case core.RunPrefill:
		s.instruct(a.Attempt.Request, a)
	case core.RunDecode:
		s.instruct(a.Attempt.Request, a)
	case core.RunCall:
		s.instruct(a.Attempt.Request, a)
	case core.Finish:
		s.instruct(a.Request, a)
	case core.GiveStored:
		s.instruct(a.Request, a)
	case core.Refuse:
		s.instruct(a.Request, a)
	}
}

// instruct never blocks: the core gives a request its next step only after the last one was reported, and one more
// when the caller goes.
func (s *server) instruct(id core.RequestID, a core.Action) {
	s.mu.Lock()
	x := s.exchanges[id]
	s.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.instructions <- a:
	default:
		s.log.Error().Str("request", string(id)).Msg("a request has more instructions than it can hold")
	}
}

// begin registers an exchange and gives its request to the core.
func (s *server) begin(x *exchange, r core.Request, gone <-chan struct{}) bool {
	s.mu.Lock()
	s.exchanges[x.id] = x
	s.mu.Unlock()
	if !s.loop.TryPost(core.RequestArrived{Request: r}) {
		s.forget(x.id)
		return false
	}
	go func() {
		defer s.forget(x.id)
		x.run()
	}()
	go x.watch(gone)
	return true
}

func (s *server) forget(id core.RequestID) {
	s.mu.Lock()
	delete(s.exchanges, id)
	s.mu.Unlock()
}

func (s *server) newID() core.RequestID {
	return core.RequestID(s.boot + strconv.FormatUint(s.next.Add(1), 36))
}
