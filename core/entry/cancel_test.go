package entry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// The cancel of an attempt without a prefill engine was also sent to the zero address, for 30 s.
func TestCancelGoesOnlyToEnginesOfTheAttempt(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.submit("r", "/stream-resumable/1")
	decodes := actionsOf[core.RunDecode](h)
	require.Len(t, decodes, 1)
	h.step(core.CallerDisconnected{Request: "r"})
	cancels := actionsOf[core.CancelAttempt](h)
	require.Len(t, cancels, 1)
	require.Equal(t, decodes[0].Addr, cancels[0].Addr)
}
