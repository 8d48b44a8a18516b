package upstream_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/upstream"
)

// An engine repeated its refusal of an earlier attempt on a kept connection. The next attempt, which the engine was running,
// was taken for one that had not been executed.
func TestRefusalOfAnotherAttemptIsNotTrusted(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		notExecuted bool
	}{
		{"of this attempt", `{"kind":"full","message":"m","notRun":true,"attempt":"r/2"}`, true},
		{"of an earlier attempt", `{"kind":"full","message":"m","notRun":true,"attempt":"r/1"}`, false},
		{"of nobody knows which", `{"kind":"full","message":"m","notRun":true}`, false},
	} {
		addr := serve(t, func(conn net.Conn) {
			for readRequest(conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
			}
		})
		client := upstream.NewClient("", nil)
		result := client.Decode(addr, &upstream.DecodeRequest{Attempt: "r/2"}, time.Second, upstream.DecodeCallbacks{OnToken: func(string) error { return nil }})
		require.Equal(t, c.notExecuted, result.Failure.NotExecuted, "decode, %s", c.name)
		_, f := client.Prefill(addr, &upstream.PrefillRequest{Attempt: "r/2"}, time.Second)
		require.Equal(t, c.notExecuted, f.NotExecuted, "prefill, %s", c.name)
	}
}
