package core_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// Whatever an upstream says of itself, its limit is none or within bounds, and it is not left alone for longer than the maximum.
func FuzzStatement(f *testing.F) {
	for _, text := range []string{"", "1.5", "0", "-1", "NaN", "Inf", "1e309", "1e-300", "0x1p-2", "1_000", "1, 2", "\x00", "Sat, 05 Dec 2026 07:00:00 GMT"} {
		f.Add(text, text, text, false)
		f.Add(text, "1", "2", true)
	}
	f.Fuzz(func(t *testing.T, rateLimit, leaving, retryAfter string, repeated bool) {
		values := core.StatementValues{RateLimit: []string{rateLimit}, Leaving: []string{leaving}, RetryAfter: []string{retryAfter}}
		if repeated {
			values.RateLimit = append(values.RateLimit, rateLimit)
		}
		s := core.NewUpstreamStatement("u", time.Time{}, values)
		require.NoError(t, s.RateLimit.Validate())
		require.GreaterOrEqual(t, s.RetryAfter, time.Duration(0))
		require.LessOrEqual(t, s.RetryAfter, core.MaxUpstreamRetryAfter)
		require.Equal(t, leaving == "1", s.Leaving)
		require.False(t, repeated && s.HasRateLimit, "a repeated limit counts for nothing")
	})
}

// An announcement of any content is refused or valid; none ends the process.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"d-1","pool":"verse-writer","role":"decode","addr":"10.1.0.7:9000","incarnation":1766000000000,"slots":20,"pieces":64}`))
	f.Add([]byte(`{"id":"d-1","pool":"p","role":"service","addr":"10.1.0.7:70000","incarnation":1e400,"slots":-1}`))
	f.Add([]byte(`{"id":[[[[[[]]]]]],"addr":"[::1%x]:1","incarnation":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var a core.Announcement
		if json.Unmarshal(text, &a) != nil || a.Validate() != nil {
			return
		}
		require.Positive(t, a.Slots)
		require.Positive(t, a.Addr.Port())
		require.Less(t, a.Incarnation, a.Incarnation+1, "a later incarnation may follow")
		require.NotEmpty(t, a.ID)
	})
}
