package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/operator"
	"oleanderlever/io/upstream"
)

const (
	// largeBodyBytes does not fit into the socket buffers between a host and a caller that does not read.
	largeBodyBytes   = 12 << 20
	smallBufferBytes = 16 << 10
	// unreadTime is how long the caller leaves its response unread once the host has no request left.
	unreadTime = 300 * time.Millisecond
	// shortDrain ends long before the timeout of the routes that the tests use.
	shortDrain = 200 * time.Millisecond
)

// announceService announces an upstream of the pool of the route /orders with the given handler.
func (s *system) announceService(handle http.HandlerFunc) {
	backend := httptest.NewServer(handle)
	s.t.Cleanup(backend.Close)
	a := &upstream.Announcer{
		Announcement: core.Announcement{
			ID: "orders-2", Pool: "order-desk", Role: core.RoleService, Addr: netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://")),
			Incarnation: uint64(time.Now().UnixMilli()), Slots: 8,
		},
		Hosts: s.UpstreamAddrs(),
	}
	a.Start()
	s.t.Cleanup(a.Stop)
	s.eventually(func() bool {
		resp, err := s.caller(0).Do(http.MethodGet, "/menu", nil)
		return err == nil && resp.Status == http.StatusOK
	})
}

// order sends an order to a path on a new connection and does not read the response.
func (s *system) order(path string) net.Conn {
	conn, err := net.Dial("tcp", s.Settings[0].Listen.Callers.String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes))
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", path, s.key)
	require.NoError(s.t, err)
	return conn
}

// drain starts a graceful shutdown that lasts at most for limit, and returns a channel that is closed at its end.
func (s *system) drain(limit time.Duration) <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	ended := make(chan struct{})
	go func() {
		defer cancel()
		s.Daemons[0].Drain(ctx)
		close(ended)
	}()
	return ended
}

// Guards against a host that ends while it still writes a response to a caller that reads it.
func TestDrainWaitsUntilResponsesAreWritten(t *testing.T) {
	s := startSystem(t, 1, t.TempDir())
	s.configure()
	s.announceService(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/orders" {
			_, _ = io.WriteString(w, strings.Repeat("a", largeBodyBytes))
		}
	})
	reader := bufio.NewReader(s.order("/orders"))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	ended := s.drain(testTimeout)
	<-s.Daemons[0].Drained()
	select {
	case <-ended:
		require.Fail(t, "the host ends before the response is written")
	case <-time.After(unreadTime):
	}
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, largeBodyBytes, n)
	<-ended
}

// Guards against a caller of our own interface without a response when its host ends while an upstream works on the call.
func TestRunningCallIsAnsweredWhenTheHostEnds(t *testing.T) {
	s := startSystem(t, 1, t.TempDir())
	s.configure()
	s.change(&operator.Change{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{Name: "large-orders", Path: "/large-orders", Pool: "order-desk", TimeoutMillis: 600_000}}})
	started, release := make(chan struct{}), make(chan struct{})
	s.announceService(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large-orders" {
			close(started)
			<-release
		}
	})
	t.Cleanup(func() { close(release) })
	conn := s.order("/large-orders")
	<-started
	ended := s.drain(shortDrain)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), core.KindOutcomeUnknown.String())
	<-ended
}
