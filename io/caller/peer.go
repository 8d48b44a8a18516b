package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
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
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 2 * time.Minute
	// stallTimeout is how long a caller may read nothing of a response before its connection is closed.
	stallTimeout = 30 * time.Second
	// closeTimeout is how long the server waits for requests in progress when it is closed. They have been completed or
	// refused by then, unless their callers do not read.
	closeTimeout = 200 * time.Millisecond
	bootIDBytes  = 6
)

func init() { control.Register(control.Peer{Name: "caller", Rank: rank, Open: open}) }

// server is the HTTP server for callers.
type server struct {
	loop              *control.Loop
	client            *upstream.Client
	settings          *settings.Host
	log               zerolog.Logger
	state             atomic.Pointer[core.PublishState]
	bootID            string
	lastRequestNumber atomic.Uint64

	// exchanges are the requests in progress.
	exchanges *control.Exchanges
	// busyConns are the connections with a request that is read, in progress or not yet responded to in full.
	busyConns *control.Active[net.Conn, struct{}]
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
		loop: h.Loop, client: upstream.NewClient(h.Settings.Credentials.UpstreamSecret, h.Bodies), settings: h.Settings, log: h.Log,
		bootID: newBootID(h.Settings.Host), exchanges: control.NewExchanges(),
		busyConns: control.NewActive[net.Conn, struct{}](),
	}
	s.state.Store(&core.PublishState{Config: &core.Config{}})
	httpServer := s.newHTTPServer()
	return control.Instance{
		Start: func() {
			go func() { _ = httpServer.Serve(socket.WatchedListener{Listener: l, WriteTimeout: stallTimeout}) }()
		},
		Perform: s.perform,
		Drain:   s.busyConns.Wait,
		Close: func() {
			_ = l.Close()
			ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			if err := httpServer.ShutdownWithContext(ctx); err != nil {
				h.Log.Warn().Err(err).Msg("connections of callers were closed with a request in progress")
			}
		},
	}, nil
}

func (s *server) newHTTPServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleError, StreamRequestBody: true,
		MaxRequestBodySize: s.settings.Requests.MaxBodyBytes, ReadTimeout: s.settings.Requests.ReadTimeout.Duration,
		IdleTimeout: idleTimeout, NoDefaultServerHeader: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, ConnState: s.connStateChanged,
	}
}

func (s *server) connStateChanged(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateActive {
		s.busyConns.Add(conn, struct{}{})
		return
	}
	s.busyConns.Remove(conn)
}

// newBootID returns a prefix for request IDs that no earlier start of the same host has used.
func newBootID(host string) string {
	var b [bootIDBytes]byte
	_, _ = rand.Read(b[:])
	return host + "-" + hex.EncodeToString(b[:]) + "-"
}

// perform delivers the core's instructions to their exchanges and stores the published state.
func (s *server) perform(a core.Action) {
	switch a := a.(type) {
	case core.PublishState:
		s.state.Store(&a)
	}
	if !s.exchanges.Perform(a) {
		s.log.Error().Type("action", a).Msg("the instruction queue of a request is full")
	}
}

// start registers an exchange, posts its request to the core and runs it. It returns false if the mailbox is full.
func (s *server) start(x *exchange, r core.Request, disconnected <-chan struct{}) bool {
	s.exchanges.Add(x.id, x.controlSide)
	if !s.loop.TryPost(core.RequestArrived{Request: r}) {
		s.exchanges.Remove(x.id)
		return false
	}
	go func() {
		defer s.exchanges.Remove(x.id)
		x.run()
	}()
	go x.watchDisconnect(disconnected)
	return true
}

func (s *server) newID() core.RequestID {
	return core.RequestID(s.bootID + strconv.FormatUint(s.lastRequestNumber.Add(1), 36))
}
