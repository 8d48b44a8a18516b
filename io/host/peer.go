package host

import (
	"context"
	"crypto/tls"
	"expvar"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/control"
	"oleanderlever/io/socket"
)

const (
	rank          = 20
	headerTimeout = 5 * time.Second
)

// counters are the bytes and batches exchanged with other hosts, served with the other metrics.
var counters = expvar.NewMap("hostMessages")

func init() { control.Register(control.Peer{Name: "host", Rank: rank, Open: open}) }

// server takes the batches of other hosts.
type server struct{ loop *control.Loop }

func open(h *control.Host) (control.Instance, error) {
	l, err := socket.Listen(h.Settings.Listen.Hosts)
	if err != nil {
		return control.Instance{}, errors.Wrap(err, "listen.hosts")
	}
	secret := h.Settings.Credentials.HostSecret
	var secure *tls.Config
	if h.Settings.TLS.IsSet() {
		if secure, err = h.Settings.TLS.Client(); err != nil {
			return control.Instance{}, err
		}
		server, err := h.Settings.TLS.Server(true)
		if err != nil {
			return control.Instance{}, err
		}
		l = tls.NewListener(l, server)
	}
	t := newTransport(core.HostID(h.Settings.Host), secret, secure, h.Log)
	handler := http.MaxBytesHandler(NewHostServer(&server{loop: h.Loop}), maxBatchBytes)
	s := &http.Server{Handler: bearer.Require(secret, handler), ReadHeaderTimeout: headerTimeout}
	return control.Instance{
		Start: func() { go func() { _ = s.Serve(l) }() },
		Do: func(a core.Action) {
			switch a := a.(type) {
			case core.SendMessage:
				t.send(a)
			case core.PeersChanged:
				t.peersChanged(a.Peers)
			}
		},
		Close: func() {
			t.close()
			_ = s.Close()
			_ = l.Close()
		},
	}, nil
}

// Deliver posts the messages of a batch; a message that is not understood refuses the rest of its batch.
func (s *server) Deliver(_ context.Context, b *Batch) (*Delivered, error) {
	if err := core.CheckName("from", b.GetFrom()); err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	for _, e := range b.GetMessages() {
		m, err := Decode(e)
		if err != nil {
			counters.Add("refused", 1)
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		counters.Add("bytesIn", int64(len(e.GetBody())))
		if !s.loop.TryPost(core.Received{From: core.HostID(b.GetFrom()), Message: m}) {
			return nil, twirp.NewError(twirp.ResourceExhausted, "the mailbox is full")
		}
	}
	return &Delivered{}, nil
}
