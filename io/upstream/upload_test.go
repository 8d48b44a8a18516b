package upstream_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/faulty"
	"oleanderlever/io/upstream"
)

// uploadBytes is the length of a body that doesn't fit into the buffers of a connection.
const uploadBytes = 8_000_000

// A service answered an upload at once and reset the connection while the upload was still being sent. The part of the body that
// had come must not look like a complete response.
func TestResetDuringUploadIsNoResponse(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		addr := serve(t, func(conn net.Conn) {
			var h fasthttp.RequestHeader
			if h.Read(bufio.NewReader(conn)) == nil {
				_ = faulty.ResetUpload(conn.(*net.TCPConn), "HTTP/1.1 "+status+"\r\nX-Attempt: r/1\r\n\r\npart")
			}
		})
		c := upstream.NewClient("", nil)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("/orders")
		req.Header.SetMethod("POST")
		req.SetBody(make([]byte, uploadBytes))
		f := c.Call(addr, attempt, req, resp, 5*time.Second, false, c.NewLease())
		require.NotNil(t, f, "%s: %q", status, resp.Body())
		require.Equal(t, core.KindUpstreamFailed, f.Kind)
		require.False(t, f.NotExecuted)
	}
}
