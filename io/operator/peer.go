package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/control"
	"oleanderlever/io/settings"
)

const (
	rank = 50
	// maxRequestBytes limits the body of a request.
	maxRequestBytes = 4 << 20
	headerTimeout   = 5 * time.Second
)

func init() { control.Register(control.Peer{Name: "operator", Rank: rank, Open: open}) }

// server implements Operator. It passes requests to the kernel and waits for the responses.
type server struct {
	self      core.HostID
	loop      *control.Loop
	requester *control.Requester
}

func open(h *control.Host) (control.Instance, error) {
	if !h.Settings.Listen.Operators.IsValid() {
		return control.Instance{}, nil
	}
	l, err := net.Listen("tcp", h.Settings.Listen.Operators.String())
	if err != nil {
		return control.Instance{}, errors.Wrap(err, "listen.operators")
	}
	if h.Settings.TLS.IsSet() {
		tlsConfig, err := h.Settings.TLS.ServerConfig(false)
		if err != nil {
			return control.Instance{}, err
		}
		l = tls.NewListener(l, tlsConfig)
	}
	s := &server{self: core.HostID(h.Settings.Host), loop: h.Loop, requester: h.Requester}
	handler := http.MaxBytesHandler(NewOperatorServer(s), maxRequestBytes)
	httpServer := &http.Server{Handler: authenticate(h.Settings.Credentials.Operators, handler), ReadHeaderTimeout: headerTimeout}
	return control.Instance{
		Start: func() { go func() { _ = httpServer.Serve(l) }() },
		Close: func() { _ = httpServer.Close() },
	}, nil
}

type operatorNameKey struct{}

// authenticate adds the operator's name to the request context, according to the bearer secret. Without operators in
// the settings, which is allowed only on loopback or a trusted network, the name is "local".
func authenticate(operators []settings.Operator, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := identify(operators, bearer.Secret(r))
		if !ok {
			bearer.WriteUnauthorized(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

func identify(operators []settings.Operator, secret string) (string, bool) {
	if len(operators) == 0 {
		return "local", true
	}
	hash := sha256.Sum256([]byte(secret))
	text := hex.EncodeToString(hash[:])
	found := ""
	for _, o := range operators {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(o.SecretHash)), []byte(text)) == 1 {
			found = o.Name
		}
	}
	return found, found != ""
}

// request posts an event to the kernel and waits for the action that responds with the same correlation ID.
func (s *server) request(ctx context.Context, newEvent func(correlationID uint64) core.Event) (core.Action, error) {
	a, f := s.requester.Request(ctx, s.loop, newEvent)
	if f != nil {
		return nil, toTwirpError(f)
	}
	if a == nil {
		return nil, twirp.NewError(twirp.Canceled, "the caller disconnected")
	}
	return a, nil
}

// Apply makes a change to the configuration.
func (s *server) Apply(ctx context.Context, r *ApplyRequest) (*ApplyReply, error) {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	command, err := toCommand(r, name)
	if err != nil {
		return nil, toTwirpError(core.FailureOf(err))
	}
	a, err := s.request(ctx, func(correlationID uint64) core.Event {
		return core.OperatorCommandRequest{CorrelationID: correlationID, Command: command}
	})
	if err != nil {
		return nil, err
	}
	result := a.(core.OperatorCommandResponse).Result
	if result.Failure != nil {
		return nil, toTwirpError(result.Failure)
	}
	return &ApplyReply{Version: uint64(result.Version)}, nil
}

// GetStatus returns the leader's view of the whole system.
func (s *server) GetStatus(ctx context.Context, _ *StatusRequest) (*StatusReply, error) {
	a, err := s.request(ctx, func(correlationID uint64) core.Event { return core.OperatorStatusRequest{CorrelationID: correlationID} })
	if err != nil {
		return nil, err
	}
	response := a.(core.OperatorStatusResponse)
	if response.Failure != nil {
		return nil, toTwirpError(response.Failure)
	}
	return fromStatus(&response.Status, s.self), nil
}

// Drain starts a graceful shutdown of this host.
func (s *server) Drain(context.Context, *DrainRequest) (*DrainReply, error) {
	s.loop.Post(core.Draining{})
	return &DrainReply{}, nil
}
