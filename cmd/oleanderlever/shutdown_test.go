package main_test

import (
	"bufio"
	"context"
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
	ampleMemoryMB    = 1024
)

// Guards against a process that exits while it writes a response: a drain over the operator API has no signal, after
// which the process waits.
func TestOperatorDrainWaitsUntilResponsesAreWritten(t *testing.T) {
	s := startSingleHost(t, ampleMemoryMB)
	h := s.hosts[0]
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", largeBodyBytes))
	}))
	t.Cleanup(backend.Close)
	announcer := &upstream.Announcer{
		Announcement: core.Announcement{
			ID: "large-1", Pool: "large", Role: core.RoleService, Incarnation: 1, Slots: 8,
			Addr: netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://")),
		},
		Hosts: []netip.AddrPort{h.upstreams},
	}
	announcer.Start()
	t.Cleanup(announcer.Stop)
	s.change(h, &operator.Change{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{
		Name: "large", Path: "/large", Pool: "large", TimeoutMillis: 3000, Open: true,
	}}})
	s.eventually("the service", func() bool {
		resp, err := s.caller(h).Do(http.MethodPost, "/large", nil)
		return err == nil && resp.Status == http.StatusOK
	})
	conn, err := net.Dial("tcp", h.callers.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes))
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, s.operator(h).Drain(ctx))
	exited := make(chan error, 1)
	go func() { exited <- h.process.Wait() }()
	select {
	case <-exited:
		require.Fail(t, "the process exits before the response is written")
	case <-time.After(time.Second):
	}
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, largeBodyBytes, n)
	require.NoError(t, <-exited)
	h.process = nil
}
