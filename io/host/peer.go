package host

import (
	"crypto/tls"
	"expvar"
	"net"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/socket"
)

const rank = 20

// counters counts bytes and batches exchanged with other hosts, lost messages and failed incoming connections. It is
// served with the other metrics.
var counters = expvar.NewMap("hostMessages")

func init() { control.Register(control.Peer{Name: "host", Rank: rank, Open: open}) }

func open(h *control.Host) (control.Instance, error) {
	l, err := socket.Listen(h.Settings.Listen.Hosts)
	if err != nil {
		return control.Instance{}, errors.Wrap(err, "listen.hosts")
	}
	var tlsConfig *tls.Config
	if h.Settings.TLS.IsSet() {
		if tlsConfig, l, err = withTLS(h, l); err != nil {
			return control.Instance{}, err
		}
	}
	secret := h.Settings.Credentials.HostSecret
	t := newTransport(core.HostID(h.Settings.Host), secret, tlsConfig, h.Log)
	s := &server{loop: h.Loop, secret: secret, log: h.Log, conns: map[net.Conn]bool{}}
	return control.Instance{
		Start: func() { go s.serve(l) },
		Perform: func(a core.Action) {
			switch a := a.(type) {
			case core.SendMessage:
				t.send(a)
			case core.PeersChanged:
				t.peersChanged(a.Peers)
			}
		},
		Close: func() {
			t.close()
			_ = l.Close()
			s.close()
		},
	}, nil
}

// withTLS returns the TLS configuration for outgoing connections and wraps the listener. Both ends present a
// certificate that the configured certificate authority signed.
func withTLS(h *control.Host, l net.Listener) (*tls.Config, net.Listener, error) {
	client, err := h.Settings.TLS.ClientConfig()
	if err != nil {
		return nil, nil, err
	}
	server, err := h.Settings.TLS.ServerConfig(true)
	if err != nil {
		return nil, nil, err
	}
	return client, tls.NewListener(l, server), nil
}
