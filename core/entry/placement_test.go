package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// The wait for a placement began anew at each further dispatcher, so that a stream waited longer than its caller does.
func TestPlacementWaitGoesOnAtAnotherDispatcher(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy, "b", "c", "d")
	h.submit("r", "/stream-resumable/1")
	var last core.PlacementRequest
	requests := 0
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, m := range actionsOf[core.SendMessage](h) {
			if r, ok := m.Message.(core.PlacementRequest); ok {
				last = r
				requests++
			}
		}
		if h.refusal("r") != nil {
			break
		}
		require.LessOrEqual(t, last.Waited+last.Remaining, 3060*time.Millisecond, "3.4 times the route's latency target")
	}
	require.Greater(t, requests, 1)
}
