package upstream_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/faulty"
	"oleanderlever/io/http1"
	"oleanderlever/io/upstream"
)

const (
	// bodyMemory is the budget of the clients in these tests; closeTimeout is how long a connection may outlast its request.
	bodyMemory   = 2 << 20
	closeTimeout = 5 * time.Second
)

// serveEndless sends an endless response to each request. A value arrives on closed when a client has closed the
// connection.
func serveEndless(t *testing.T, e faulty.Endless) (netip.AddrPort, <-chan int) {
	ended := make(chan int, 16)
	addr := serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(conn) {
			ended <- e.Send(conn)
		}
	})
	return addr, ended
}

func requireClosed(t *testing.T, closed <-chan int) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		require.Fail(t, "the connection is still open")
	}
}

// endsWithin fails the test if the function has not returned in time.
func endsWithin(t *testing.T, limit time.Duration, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(limit):
		require.FailNow(t, "the request is still running")
	}
}

// A call to a service that never ends its response fails in time, never says that it was not executed, and closes the
// connection.
func TestEndlessServiceResponses(t *testing.T) {
	for _, e := range faulty.Responses("X-Attempt: r/1\r\n") {
		t.Run(e.Name, func(t *testing.T) {
			addr, closed := serveEndless(t, e)
			c := upstream.NewClient("", http1.NewMemoryBudget(bodyMemory))
			var f *core.Failure
			endsWithin(t, 2*time.Second, func() { f = callServiceWith(c, addr, true) })
			require.Equal(t, e.Complete, f == nil, "%v", f)
			require.False(t, f != nil && f.NotExecuted)
			requireClosed(t, closed)
		})
	}
}

// The other requests to an engine are limited in the same way.
func TestEndlessEngineResponses(t *testing.T) {
	for _, e := range faulty.Responses("") {
		t.Run(e.Name, func(t *testing.T) {
			addr, closed := serveEndless(t, e)
			c := upstream.NewClient("", http1.NewMemoryBudget(bodyMemory))
			endsWithin(t, 5*time.Second, func() {
				_, f := c.Prefill(addr, &upstream.PrefillRequest{Attempt: "r/1", Body: []byte("{}")}, time.Second)
				require.NotNil(t, f)
				require.False(t, f.NotExecuted)
				f = c.Assign(addr, core.AssignRequest{}, time.Second)
				require.Equal(t, e.Complete, f == nil, "%v", f)
				require.Equal(t, e.Complete, c.Cancel(addr, attempt))
			})
			if !e.Complete {
				requireClosed(t, closed)
			}
		})
	}
}

// A decode stream must not last longer than its tokens, whatever bytes keep coming.
func TestEndlessDecodeStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	token, slow := tokenLine("r/1", 0)+"\n", 20*time.Millisecond
	for _, e := range append(faulty.Responses(""),
		faulty.Endless{Name: "line", Start: head + token, Repeat: " "},
		faulty.Endless{Name: "slow line", Start: head + token, Repeat: " ", Pause: slow},
		faulty.Endless{Name: "empty lines", Start: head + token, Repeat: "\n"},
		faulty.Endless{Name: "repeated token", Start: head + token, Repeat: token},
		faulty.Endless{Name: "slow repeated token", Start: head + token, Repeat: token, Pause: slow},
	) {
		t.Run(e.Name, func(t *testing.T) {
			addr, closed := serveEndless(t, e)
			c := upstream.NewClient("", http1.NewMemoryBudget(bodyMemory))
			endsWithin(t, 3*time.Second, func() {
				request := &upstream.DecodeRequest{Attempt: "r/1", Body: []byte("{}")}
				result := c.Decode(addr, request, 300*time.Millisecond, upstream.DecodeCallbacks{OnToken: func(string) error { return nil }})
				require.NotNil(t, result.Failure)
				require.False(t, result.Failure.NotExecuted)
			})
			requireClosed(t, closed)
		})
	}
}

// All calls together keep no more body bytes in memory than the budget, and return it.
func TestBodiesShareOneBudget(t *testing.T) {
	body := "HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n" + string(make([]byte, 700_000))
	addr := serve(t, func(conn net.Conn) {
		for readRequest(conn) {
			_, _ = conn.Write([]byte(body))
		}
	})
	c := upstream.NewClient("", http1.NewMemoryBudget(bodyMemory))
	call := func() (*http1.MemoryLease, *core.Failure) {
		req, resp, memory := fasthttp.AcquireRequest(), fasthttp.AcquireResponse(), c.NewLease()
		req.SetRequestURI("/menu")
		return memory, c.Call(addr, attempt, req, resp, time.Second, false, memory)
	}
	first, f := call()
	require.Nil(t, f)
	second, f := call()
	require.NotNil(t, f)
	require.False(t, f.NotExecuted)
	second.Release()
	first.Release()
	_, f = call()
	require.Nil(t, f)
}
