package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// state makes an upstream say something in a response whose header arrived some time ago.
func (d *desk) state(h *harness.Host, ago time.Duration, rateLimits ...string) {
	d.Post(h, core.UpstreamStated{
		Pool: "desk", Statement: *core.NewUpstreamStatement("s1", d.Now.Add(-ago), core.StatementValues{RateLimit: rateLimits}),
	})
}

// limited returns the number of hosts that know a limit.
func (d *desk) limited() int {
	n := 0
	for _, h := range d.Hosts {
		h.Kernel.Gauges(func(name string, value int64) {
			if name == "dispatch.limitedUpstreams" && value > 0 {
				n++
			}
		})
	}
	return n
}

// A stream that began before its engine had a limit ends the limit if it counts when it ends, and not when it began.
func TestOldResponsesDoNotEndALimit(t *testing.T) {
	d := newDesk(1, 12)
	d.state(d.Hosts[0], 0, "2.5")
	d.RunFor(100 * time.Millisecond)
	require.Equal(t, 12, d.limited(), "all hosts hear of a limit")
	d.state(d.Hosts[3], 3*time.Second)
	d.RunFor(100 * time.Millisecond)
	require.Equal(t, 12, d.limited(), "an old response ended the limit")
	d.state(d.Hosts[3], 0)
	d.RunFor(100 * time.Millisecond)
	require.Zero(t, d.limited(), "all hosts hear of the end")
}

// A limit that can't be read changes nothing, whatever it holds, and none takes an upstream away for ever.
func TestMalformedLimitsChangeNothing(t *testing.T) {
	for _, values := range [][]string{
		{""}, {"x"}, {"-1"}, {"NaN"}, {"Inf"}, {"1e309"}, {"1, 2"}, {"1", "2"}, {"\x00\xff"}, {"Sat, 05 Dec 2026 07:00:00 GMT"},
	} {
		for _, before := range []string{"", "2"} {
			d := newDesk(1, 1)
			known := 0
			if before != "" {
				d.state(d.Hosts[0], 10*time.Millisecond, before)
				known = 1
			}
			d.state(d.Hosts[0], 0, values...)
			require.Equal(t, known, d.limited(), "%q after %q", values, before)
		}
	}
	for _, value := range []string{"0", "0.0", "-0", "1e-300", "1e300"} {
		rate, err := core.ParseRequestRate(value)
		require.NoError(t, err, "%q", value)
		require.NoError(t, rate.Validate(), "%q", value)
		require.GreaterOrEqual(t, rate, core.MinRequestRate, "%q", value)
	}
}

// A new incarnation of an upstream has named nothing, and what hosts still tell of the one before does not count.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	d := newDesk(1, 12)
	d.state(d.Hosts[0], 0, "2")
	d.RunFor(100 * time.Millisecond)
	for _, h := range d.Hosts {
		list := core.UpstreamList{Seen: []core.SeenUpstream{serviceAnnouncement("s1", 2)}}
		d.Post(h, core.MessageReceived{From: "replica", Message: list})
	}
	require.Zero(t, d.limited())
	d.Post(d.Hosts[1], core.MessageReceived{From: d.Hosts[2].ID, Message: core.UpstreamLimits{Limits: []core.UpstreamLimit{
		{Pool: "desk", Upstream: "s1", Incarnation: 1, RateLimit: 2, Age: time.Second},
	}}})
	d.RunFor(10 * time.Second)
	require.Zero(t, d.limited())
}
