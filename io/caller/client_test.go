package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/caller"
	"oleanderlever/io/faulty"
	"oleanderlever/io/http1"
)

// respond returns a client of a server that answers the only request on each connection with the text.
func respond(t *testing.T, text string) *caller.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return &caller.Client{Addr: l.Addr().(*net.TCPAddr).AddrPort()}
}

// The client reported a malformed response as one of the host.
func TestClientRejectsMalformedResponses(t *testing.T) {
	for _, m := range faulty.MalformedHeaders("Content-Type: text/event-stream\r\n", "data: [DONE]\n\n") {
		t.Run(m.Name, func(t *testing.T) {
			c := respond(t, m.Text)
			_, err := c.Do(http.MethodGet, "/readyz", nil)
			require.ErrorIs(t, err, http1.ErrMalformed)
			result, err := c.Stream("/v1/completions", nil, nil)
			require.ErrorIs(t, err, http1.ErrMalformed)
			require.False(t, result.Complete)
		})
	}
}
