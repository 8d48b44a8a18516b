package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/caller"
	"oleanderlever/io/faulty"
)

// A service in trouble responded with a malformed header, and the caller of the product's own interface got that as the response.
// A call that may have been executed is not reported as not executed, also not to a resend with the same key.
func TestMalformedServiceResponseIsNoResponse(t *testing.T) {
	s := startSystem(t, 1, t.TempDir())
	s.configure()
	var text atomic.Value
	var orders atomic.Int32
	s.announceService(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/orders" {
			return
		}
		orders.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text.Load().(string))
		_ = conn.Close()
	})
	for n, m := range faulty.MalformedHeaders("", "ordered") {
		t.Run(m.Name, func(t *testing.T) {
			s.eventually(func() bool {
				resp, err := s.caller(0).Do(http.MethodGet, "/menu", nil)
				return err == nil && resp.Status == http.StatusOK
			})
			text.Store(m.Text)
			before := orders.Load()
			key := caller.Header{Name: "Idempotency-Key", Value: fmt.Sprintf("order-%d", n)}
			order := func() caller.Response {
				resp, err := s.caller(0).Do(http.MethodPost, "/orders", []byte("dinner"), key)
				require.NoError(t, err)
				require.False(t, resp.NotExecuted)
				return resp
			}
			first := order()
			require.Equal(t, http.StatusBadGateway, first.Status, "%q", first.Body)
			// The first call counts as running until its outcome is recorded.
			s.eventually(func() bool { return order().Status != http.StatusConflict })
			require.Equal(t, http.StatusBadGateway, order().Status)
			require.Equal(t, before+1, orders.Load(), "the call was sent again")
		})
	}
}
