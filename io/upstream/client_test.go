package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/upstream"
)

var attempt = core.AttemptID{Request: "r", Number: 1}

// serve accepts connections until the test ends and handles each one with the function.
func serve(t *testing.T, handle func(conn net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// readRequest reads one request from a connection and reports whether there was one.
func readRequest(conn net.Conn) bool {
	var req fasthttp.Request
	return req.Read(bufio.NewReader(conn)) == nil
}

// serveLines responds to the first request of each connection with lines of JSON and closes the connection.
func serveLines(t *testing.T, text ...string) netip.AddrPort {
	return serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", strings.Join(text, "\n")+"\n")
		}
	})
}

func tokenLine(attempt string, offset int) string {
	return fmt.Sprintf(`{"attempt":%q,"offset":%d,"text":"t%d "}`, attempt, offset, offset)
}

const doneLine = `{"attempt":"r/1","offset":3,"done":true,"finish":"stop","promptTokens":9}`

// Callers must never receive another request's tokens, a token twice, or a stream with a gap, even if responses arrive
// on the wrong connection.
func TestDecodeAcceptsOnlyItsOwnTokensInOrder(t *testing.T) {
	for _, c := range []struct {
		name           string
		lines          []string
		text           string
		fails          bool
		connectionLost bool
	}{
		{"complete", []string{tokenLine("r/1", 0), tokenLine("r/1", 1), tokenLine("r/1", 2), doneLine}, "t0 t1 t2 ", false, false},
		{"repeated token", []string{tokenLine("r/1", 0), tokenLine("r/1", 0), tokenLine("r/1", 1), doneLine}, "t0 t1 ", false, false},
		{"token of another attempt", []string{tokenLine("r/1", 0), tokenLine("q/7", 1), doneLine}, "t0 ", true, false},
		{"gap", []string{tokenLine("r/1", 0), tokenLine("r/1", 2), doneLine}, "t0 ", true, true},
		{"incomplete", []string{tokenLine("r/1", 0)}, "t0 ", true, true},
		{"invalid JSON", []string{"{"}, "", true, false},
	} {
		addr := serveLines(t, c.lines...)
		text := ""
		result := upstream.NewClient("", nil).Decode(addr, &upstream.DecodeRequest{Attempt: "r/1"}, time.Second, upstream.DecodeCallbacks{OnToken: func(s string) error {
			text += s
			return nil
		}})
		require.Equal(t, c.text, text, c.name)
		require.Equal(t, c.fails, result.Failure != nil, "%s: %v", c.name, result.Failure)
		require.Equal(t, c.connectionLost, result.ConnectionLost, c.name)
	}
}

// Guards against waiting forever on a connection that stays open but delivers nothing: a stream without a token for too
// long counts as lost.
func TestStalledStreamTimesOut(t *testing.T) {
	addr := serve(t, func(conn net.Conn) {
		if readRequest(conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s\n", tokenLine("r/1", 0))
		}
	})
	result := upstream.NewClient("", nil).Decode(addr, &upstream.DecodeRequest{Attempt: "r/1"}, 100*time.Millisecond, upstream.DecodeCallbacks{OnToken: func(string) error { return nil }})
	require.True(t, result.ConnectionLost)
	require.False(t, result.Failure.NotExecuted)
}

func callService(addr netip.AddrPort, newConnection bool) *core.Failure {
	return callServiceWith(upstream.NewClient("", nil), addr, newConnection)
}

func callServiceWith(c *upstream.Client, addr netip.AddrPort, newConnection bool) *core.Failure {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("/orders")
	req.Header.SetMethod("POST")
	return c.Call(addr, attempt, req, resp, time.Second, newConnection, c.NewLease())
}

// A failure may say that the request was not executed only if no byte of it can have been sent.
func TestNotExecutedOnlyWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	require.True(t, callService(addr, true).NotExecuted)
	closing := serve(t, func(conn net.Conn) {
		_ = readRequest(conn)
		_ = conn.Close()
	})
	require.False(t, callService(closing, true).NotExecuted)
	stalled := serve(t, func(conn net.Conn) { _ = readRequest(conn) })
	require.False(t, callService(stalled, true).NotExecuted)
}

// The HTTP library must not repeat a call on its own, neither if the connection is closed without a response nor if an
// idle connection turns out to be closed.
func TestCallsAreNotRetried(t *testing.T) {
	var calls atomic.Int32
	closing := serve(t, func(conn net.Conn) {
		if readRequest(conn) {
			calls.Add(1)
		}
		_ = conn.Close()
	})
	for _, newConnection := range []bool{true, false} {
		calls.Store(0)
		require.NotNil(t, callService(closing, newConnection))
		require.Equal(t, int32(1), calls.Load())
	}
	keepAlive := serve(t, func(conn net.Conn) {
		if readRequest(conn) {
			calls.Add(1)
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		if readRequest(conn) {
			calls.Add(1)
		}
		_ = conn.Close()
	})
	calls.Store(0)
	c := upstream.NewClient("", nil)
	require.Nil(t, callServiceWith(c, keepAlive, false))
	require.NotNil(t, callServiceWith(c, keepAlive, false))
	require.Equal(t, int32(2), calls.Load())
	// A call with newConnection does not use the idle connection, whatever its state.
	require.Nil(t, callServiceWith(c, keepAlive, true))
}

func TestServiceResponseForAnotherAttemptIsRejected(t *testing.T) {
	addr := serve(t, func(conn net.Conn) {
		if readRequest(conn) {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt: q/7\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := callService(addr, true)
	require.NotNil(t, f)
	require.False(t, f.NotExecuted)
}

// Guards against a response that arrives after its call has timed out and is taken for the next call's response.
func TestLateResponseIsNotUsedForNextCall(t *testing.T) {
	var conns atomic.Int32
	addr := serve(t, func(conn net.Conn) {
		n := conns.Add(1)
		for readRequest(conn) {
			if n == 1 {
				time.Sleep(5 * time.Second)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		}
	})
	c := upstream.NewClient("", nil)
	for n := range 5 {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("/menu")
		f := c.Call(addr, attempt, req, resp, 500*time.Millisecond, false, c.NewLease())
		if n == 0 {
			require.NotNil(t, f)
			continue
		}
		require.Nil(t, f)
		require.Equal(t, "2", string(resp.Body()))
		time.Sleep(20 * time.Millisecond)
	}
}
