package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/upstream"
)

// startCrashingService announces an instance of a plain service whose process ends when it gets a request with the body "deadly".
func (s *system) startCrashingService(id core.UpstreamID, reached *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) != "deadly" {
			return
		}
		reached.Add(1)
		_ = l.Close()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})}
	a := &upstream.Announcer{
		Announcement: core.Announcement{
			ID: id, Pool: "order-desk", Role: core.RoleService, Addr: netip.MustParseAddrPort(l.Addr().String()),
			Incarnation: uint64(time.Now().UnixMilli()), Slots: 8,
		},
		Hosts: s.UpstreamAddrs(),
	}
	go func() {
		_ = server.Serve(l)
		a.Stop()
	}()
	a.Start()
	s.t.Cleanup(func() { _ = server.Close() })
}

// On the product's own interface a call that crashes each instance of a service must stop after three crashes too, on every host,
// also as a resend without an idempotency key.
func TestCallThatEndsServicesIsNotForwardedAgain(t *testing.T) {
	for _, path := range []string{"/orders", "/menu"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			s := startSystem(t, 3, t.TempDir())
			s.configure()
			var reached atomic.Int32
			send := func(host int, body string) caller.Response {
				resp, err := s.caller(host).Do(http.MethodPost, path, []byte(body))
				require.NoError(t, err)
				return resp
			}
			isSound := func(host int) bool { return send(host, "sound").Status == http.StatusOK }
			for n := range 3 {
				s.startCrashingService(core.UpstreamID(fmt.Sprint("orders-", 10+n)), &reached)
				s.eventually(func() bool { return isSound(n) })
				send(n, "deadly")
				require.EqualValues(t, n+1, reached.Load())
			}
			isQuarantined := func(host int) bool {
				resp := send(host, "deadly")
				return resp.Status == http.StatusServiceUnavailable && resp.NotExecuted && strings.Contains(string(resp.Body), "quarantined")
			}
			for host := range 3 {
				s.eventually(func() bool { return isQuarantined(host) })
			}
			s.startCrashingService("orders-20", &reached)
			for host := range 3 {
				s.eventually(func() bool { return isSound(host) })
				require.True(t, isQuarantined(host))
			}
			require.EqualValues(t, 3, reached.Load())
		})
	}
}
