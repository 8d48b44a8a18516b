package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"syscall"
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

// announceService announces an upstream of a new pool and route, both of the given name, and waits until it serves.
func (s *system) announceService(name string, slots int, timeoutMillis int64, handle http.HandlerFunc) {
	h := s.hosts[0]
	backend := httptest.NewServer(handle)
	s.t.Cleanup(backend.Close)
	announcer := &upstream.Announcer{
		Announcement: core.Announcement{
			ID: core.UpstreamID(name + "-1"), Pool: core.PoolID(name), Role: core.RoleService, Incarnation: 1, Slots: slots,
			Addr: netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://")),
		},
		Hosts: []netip.AddrPort{h.upstreams},
	}
	announcer.Start()
	s.t.Cleanup(announcer.Stop)
	s.change(h, &operator.Change{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{
		Name: name, Path: "/" + name, Pool: name, TimeoutMillis: timeoutMillis, Open: true,
	}}})
	s.eventually("the service", func() bool {
		resp, err := s.caller(h).Do(http.MethodPost, "/"+name, nil)
		return err == nil && resp.Status == http.StatusOK
	})
}

// send sends a call on a new connection and does not read the response.
func (s *system) send(path, body string) net.Conn {
	conn, err := net.Dial("tcp", s.hosts[0].callers.String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes))
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	require.NoError(s.t, err)
	return conn
}

// Guards against a process that exits while it writes a response: a drain over the operator API has no signal, after
// which the process waits.
func TestOperatorDrainWaitsUntilResponsesAreWritten(t *testing.T) {
	s := startSingleHost(t, ampleMemoryMB)
	h := s.hosts[0]
	s.announceService("large", 8, 3000, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", largeBodyBytes))
	})
	response, err := http.ReadResponse(bufio.NewReader(s.send("/large", "")), nil)
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

// Guards against connections that a process closes without a response when it ends after a signal: of a call that an
// upstream works on, and of one that waits for the upstream's only slot.
func TestSignalAnswersRunningAndWaitingCalls(t *testing.T) {
	s := startSingleHost(t, ampleMemoryMB, "[requests]\ndrainTimeout = \"2s\"")
	h := s.hosts[0]
	started, release := make(chan struct{}), make(chan struct{})
	s.announceService("slow", 1, 600_000, func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && len(body) > 0 {
			close(started)
			<-release
		}
	})
	t.Cleanup(func() { close(release) })
	running := s.send("/slow", "running")
	<-started
	waiting := s.send("/slow", "waiting")
	s.eventually("the second call waits", func() bool {
		log, err := os.ReadFile(h.log)
		return err == nil && strings.Count(string(log), `"choice":"admit"`) > strings.Count(string(log), `"choice":"place"`)
	})
	require.NoError(t, h.process.Process.Signal(syscall.SIGTERM))
	for conn, kind := range map[net.Conn]core.Kind{running: core.KindOutcomeUnknown, waiting: core.KindNotReady} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, kind.String())
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Contains(t, string(text), kind.String())
	}
	require.NoError(t, h.process.Wait())
	h.process = nil
}
