package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/gossip"
	"oleanderlever/core/harness"
)

// Engines that named a limit got more requests: the dispatcher placed by load alone, and a prefill counts like a decode.
// Streams that wait are served as the limits allow.
func TestEnginesOverTheirLimit(t *testing.T) {
	const window, grace, burst, factor = 4 * time.Second, 3 * time.Second, 5, 1.5
	for seed := range uint64(4) {
		cfg := reliableNetwork(seed, 6)
		cfg.Plugins = append(plugins(false), gossip.Plugin())
		c := newCluster(t, cfg)
		c.addEngines(3, 6)
		for i, rate := range []core.RequestRate{2, 0, 0, 0.5, 1, 1, 2, 0, 0} {
			c.Engines[i].Rate = rate
		}
		var made []*harness.Exchange
		for range 400 {
			made = append(made, c.submitPrompt(c.Hosts[c.Rand.IntN(len(c.Hosts))], sharedPart, otherPart))
			c.RunFor(50 * time.Millisecond)
		}
		c.RunFor(15 * time.Second)
		for _, e := range c.Engines {
			if e.Rate == 0 {
				continue
			}
			require.False(t, e.StatedAt.IsZero(), "seed %d, %s: never named its limit", seed, e.ID)
			allowed := int(factor*float64(e.Rate)*window.Seconds() + burst)
			require.LessOrEqual(t, e.MostArrivals(e.StatedAt.Add(grace), window), allowed, "seed %d, %s: limit of %v", seed, e.ID, e.Rate)
		}
		served := 0
		for _, x := range made {
			if x.Failure == nil {
				served++
			}
		}
		require.Greater(t, served, len(made)*9/10, "seed %d", seed)
		require.Empty(t, c.Violations, "seed %d", seed)
	}
}
