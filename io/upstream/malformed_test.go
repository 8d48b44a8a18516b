package upstream_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/faulty"
	"oleanderlever/io/upstream"
)

// A malformed response was taken for the upstream's, in calls to services and in all requests to engines. None of them may be
// reported as not executed, and the connection is closed.
func TestMalformedResponsesAreFailures(t *testing.T) {
	const body = `{"attempt":"r/1","handle":"h","promptTokens":1,"done":true,"finish":"stop"}`
	noToken := upstream.DecodeCallbacks{OnToken: func(string) error { return nil }}
	for _, m := range faulty.MalformedHeaders("X-Attempt: r/1\r\n", body) {
		t.Run(m.Name, func(t *testing.T) {
			closed := make(chan int, 8)
			addr := serve(t, func(conn net.Conn) {
				if readRequest(conn) {
					_, _ = io.WriteString(conn, m.Text)
					n, _ := conn.Read(make([]byte, 1))
					closed <- n
				}
			})
			c := upstream.NewClient("", nil)
			requireFailed := func(f *core.Failure) {
				t.Helper()
				require.NotNil(t, f)
				require.Equal(t, core.KindUpstreamFailed, f.Kind)
				require.False(t, f.NotExecuted)
				requireClosed(t, closed)
			}
			requireFailed(callServiceWith(c, addr, false))
			_, f := c.Prefill(addr, &upstream.PrefillRequest{Attempt: "r/1", Body: []byte("{}")}, time.Second)
			requireFailed(f)
			result := c.Decode(addr, &upstream.DecodeRequest{Attempt: "r/1", Body: []byte("{}")}, time.Second, noToken)
			require.True(t, result.ConnectionLost)
			requireFailed(result.Failure)
			result = c.Decode(addr, &upstream.DecodeRequest{Attempt: "r/1", Body: []byte("{}"), Resume: true}, time.Second, noToken)
			requireFailed(result.Failure)
			requireFailed(c.Assign(addr, core.AssignRequest{}, time.Second))
			require.False(t, c.Cancel(addr, attempt))
			requireClosed(t, closed)
		})
	}
}
