package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"oleanderlever/io/caller"
	"oleanderlever/io/faulty"
	"oleanderlever/io/http1"
	"oleanderlever/io/socket"
)

// newClient returns a client of a server that handles the first request of each connection, whose body it may leave unread.
func newClient(t *testing.T, handle func(conn *net.TCPConn)) *caller.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go socket.Accept(l, zerolog.Nop(), func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			handle(conn.(*net.TCPConn))
		}
		_ = conn.Close()
	})
	return &caller.Client{Addr: l.Addr().(*net.TCPAddr).AddrPort()}
}

// The client reported a malformed response as one of the host.
func TestClientRejectsMalformedResponses(t *testing.T) {
	for _, m := range faulty.MalformedHeaders("Content-Type: text/event-stream\r\n", "data: [DONE]\n\n") {
		t.Run(m.Name, func(t *testing.T) {
			c := newClient(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, m.Text) })
			_, err := c.Do(http.MethodGet, "/readyz", nil)
			require.ErrorIs(t, err, http1.ErrMalformed)
			result, err := c.Stream("/v1/completions", nil, nil)
			require.ErrorIs(t, err, http1.ErrMalformed)
			require.False(t, result.Complete)
		})
	}
}

// A host that was lost while it read an upload had begun to respond. The client took the part of the response for all of it.
func TestClientRejectsResponseAfterReset(t *testing.T) {
	c := newClient(t, func(conn *net.TCPConn) { _ = faulty.ResetUpload(conn, "HTTP/1.1 200 OK\r\n\r\npart") })
	resp, err := c.Do(http.MethodPost, "/orders", make([]byte, 8_000_000))
	require.Error(t, err, "%q", resp.Body)
}
