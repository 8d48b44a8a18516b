package host_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/daemon"
	"oleanderlever/io/host"
	"oleanderlever/io/settings"
)

// testHost runs the host peer with a kernel whose only component collects the received messages.
type testHost struct {
	addr     netip.AddrPort
	received chan core.MessageReceived
	peer     control.Instance
}

const secret = "sixteen bytes or more"

func newTestHost(t testing.TB) *testHost {
	addr, err := daemon.FreeAddr()
	require.NoError(t, err)
	s := &testHost{addr: addr, received: make(chan core.MessageReceived, 100)}
	var peer control.Peer
	for _, p := range control.Peers() {
		if p.Name == "host" {
			peer = p
		}
	}
	h := &control.Host{Settings: &settings.Host{Host: "me"}, Loop: control.NewLoop(), Log: zerolog.Nop()}
	h.Settings.Listen.Hosts = s.addr
	h.Settings.Credentials.HostSecret = secret
	s.peer, err = peer.Open(h)
	require.NoError(t, err)
	collector := core.Plugin{Name: "collector", New: func(core.Env) core.Component {
		return core.Component{Handle: func(_ *core.Turn, ev core.Event) {
			if r, ok := ev.(core.MessageReceived); ok {
				s.received <- r
			}
		}}
	}}
	h.Loop.Start(core.New(core.Env{}, collector), func(core.Action) {})
	s.peer.Start()
	t.Cleanup(func() {
		s.peer.Close()
		h.Loop.Stop()
	})
	return s
}

func (s *testHost) requireReceived(t *testing.T, expected core.Message) {
	select {
	case r := <-s.received:
		require.Equal(t, core.HostID("me"), r.From)
		require.Equal(t, expected, r.Message)
	case <-time.After(10 * time.Second):
		require.Fail(t, "no message received", "%T", expected)
	}
}

func TestMessagesAreDelivered(t *testing.T) {
	a, b := newTestHost(t), newTestHost(t)
	for n := range 50 {
		m := core.LeaseHint{Version: core.ConfigVersion(n)}
		a.peer.Perform(core.SendMessage{To: "b", Addr: b.addr, Message: m})
		b.requireReceived(t, m)
	}
}

// Batches that are large enough to be compressed must arrive unchanged.
func TestLargeBatchesAreDelivered(t *testing.T) {
	a, b := newTestHost(t), newTestHost(t)
	for n := range 5 {
		m := core.UnknownAttempts{}
		for i := range 1000 * n {
			m.Attempts = append(m.Attempts, core.AttemptID{Request: core.RequestID(fmt.Sprint("request-", i)), Number: 1})
		}
		a.peer.Perform(core.SendMessage{To: "b", Addr: b.addr, Message: m})
		b.requireReceived(t, m)
	}
}

// A sender whose connection was closed opens another one for its next messages.
func TestSenderReconnects(t *testing.T) {
	a, b := newTestHost(t), newTestHost(t)
	a.peer.Perform(core.SendMessage{To: "b", Addr: b.addr, Message: core.LeaseHint{Version: 1}})
	b.requireReceived(t, core.LeaseHint{Version: 1})
	b.peer.Close()
	l, err := net.Listen("tcp", b.addr.String())
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.Close()
			close(accepted)
		}
	}()
	for n := 0; ; n++ {
		a.peer.Perform(core.SendMessage{To: "b", Addr: b.addr, Message: core.LeaseHint{Version: 2}})
		select {
		case <-accepted:
			return
		case <-time.After(50 * time.Millisecond):
			require.Less(t, n, 200)
		}
	}
}

// The server closes a connection that sends a wrong secret or an invalid frame and delivers none of its messages.
func TestInvalidInputClosesTheConnection(t *testing.T) {
	e, err := host.Encode(core.LeaseHint{Version: 1})
	require.NoError(t, err)
	frame := func(b *host.Batch) string {
		body, err := proto.Marshal(b)
		require.NoError(t, err)
		return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + string(body)
	}
	validFrame := frame(&host.Batch{From: "me", Messages: []*host.Envelope{e}})
	greeting := "oleanderlever/1 " + secret + "\n"
	for name, text := range map[string]string{
		"no greeting":             validFrame,
		"wrong secret":            "oleanderlever/1 guess\n" + validFrame,
		"another protocol":        "GET / HTTP/1.1\r\n\r\n" + validFrame,
		"batch too large":         greeting + "\xff\xff\xff\xff" + validFrame,
		"invalid compressed data": greeting + "\x80\x00\x00\x03abc",
		"invalid batch":           greeting + "\x00\x00\x00\x03abc",
		"unknown type":            greeting + frame(&host.Batch{From: "me", Messages: []*host.Envelope{{Type: 9999}}}),
		"no sender name":          greeting + frame(&host.Batch{Messages: []*host.Envelope{e}}),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestHost(t)
			conn, err := net.Dial("tcp", s.addr.String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, text)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = conn.Read(make([]byte, 1))
			require.Error(t, err)
			var netErr net.Error
			require.False(t, errors.As(err, &netErr) && netErr.Timeout(), "the connection was not closed")
			require.Empty(t, s.received)
		})
	}
	s := newTestHost(t)
	conn, err := net.Dial("tcp", s.addr.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, greeting+validFrame)
	require.NoError(t, err)
	s.requireReceived(t, core.LeaseHint{Version: 1})
}

// A device between two hosts may acknowledge all bytes of an open connection and forward none, while new connections
// work. The sender must notice that its probes have no response and open another connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	a := newTestHost(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	to := l.Addr().(*net.TCPAddr).AddrPort()
	require.Eventually(t, func() bool {
		a.peer.Perform(core.SendMessage{To: "b", Addr: to, Message: core.LeaseHint{Version: 1}})
		return len(accepted) >= 2
	}, 10*time.Second, 20*time.Millisecond)
}
