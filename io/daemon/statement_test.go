package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/engine"
	"oleanderlever/io/service"
	"oleanderlever/io/upstream"
)

// On our own interface too, what upstreams say of themselves is respected by all hosts: a limit, a time to stay away, that they
// are leaving.
func TestUpstreamsAreSentWhatTheySayTheyTake(t *testing.T) {
	s := startSystem(t, 3, t.TempDir())
	s.service()
	s.engine("e-1", core.RoleBoth)
	s.configure()
	menu := func(host int) int {
		resp, err := s.caller(host).Do(http.MethodGet, "/menu", nil)
		require.NoError(t, err)
		return resp.Status
	}
	s.eventually(func() bool { return menu(0) == http.StatusOK && menu(1) == http.StatusOK })
	s.completeText("before")

	s.orderService.SetFaults(service.Faults{Said: upstream.Said{RateLimit: 2}})
	require.Equal(t, http.StatusOK, menu(0))
	begin, served := time.Now(), 0
	for n := 0; time.Since(begin) < 4*time.Second; n++ {
		if menu(n%3) == http.StatusOK {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, served, int(1.5*2*time.Since(begin).Seconds())+5)
	require.Positive(t, served)
	s.orderService.SetFaults(service.Faults{})
	s.eventually(func() bool { return menu(0) == http.StatusOK && menu(1) == http.StatusOK && menu(2) == http.StatusOK })

	s.engines[0].SetFaults(engine.Faults{RejectRequests: true, Said: upstream.Said{RetryAfter: 1}})
	stream, err := s.caller(0).Stream("/v1/chat/completions", body("refused", true), nil)
	require.NoError(t, err)
	require.False(t, stream.Complete)
	s.engines[0].SetFaults(engine.Faults{})
	s.eventually(func() bool {
		stream, err := s.caller(0).Stream("/v1/chat/completions", body("again", true), nil)
		return err == nil && stream.Complete
	})

	s.engines[0].SetFaults(engine.Faults{Said: upstream.Said{Leaving: true}})
	s.completeText("last")
	started := s.engines[0].Stats()
	stream, err = s.caller(1).Stream("/v1/chat/completions", body("late", true), nil)
	require.NoError(t, err)
	require.False(t, stream.Complete)
	require.Equal(t, http.StatusServiceUnavailable, stream.Status)
	require.Equal(t, started, s.engines[0].Stats())
}
