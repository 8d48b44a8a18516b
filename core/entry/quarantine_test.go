package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/gossip"
	"oleanderlever/core/harness"
	"oleanderlever/core/quarantine"
)

// newQuarantineCluster returns a cluster of six hosts, two prefill and eight decode engines, on which prompts with the part
// deadlyPart crash engines.
func newQuarantineCluster(t *testing.T, seed uint64) *cluster {
	cfg := reliableNetwork(seed, 6)
	cfg.Plugins = append(plugins(false), gossip.Plugin(), quarantine.Plugin())
	c := newCluster(t, cfg)
	c.addEngines(2, 8)
	c.DeadlyParts = map[uint64]bool{deadlyPart: true}
	return c
}

// sharedPart is in all prompts, deadlyPart crashes engines, otherPart is in some sound prompts.
const (
	sharedPart = uint64(iota + 1)
	deadlyPart
	otherPart
)

func (c *cluster) submitPrompt(h *harness.Host, parts ...uint64) *harness.Exchange {
	r := core.Request{
		KeyHash: core.KeyHash{1}, HasKey: true, Model: model, PromptTokens: 500, MaxOutput: 20, PromptParts: parts,
		Deadline: c.Now.Add(10 * time.Second),
	}
	return c.Submit(h, "a", r, harness.Spec{PromptLength: 500, OutputLength: 20})
}

// Requests with one part of their prompt crash engine after engine. Once a few engines have crashed, such requests must be
// refused at once and truthfully on every host, and requests that share their other parts must be served.
func TestPromptsThatCrashEnginesAreQuarantined(t *testing.T) {
	for seed := range uint64(5) {
		c := newQuarantineCluster(t, seed)
		var sound, deadly []*harness.Exchange
		for n := range 400 {
			h := c.Hosts[c.Rand.IntN(len(c.Hosts))]
			if n%10 == 5 {
				deadly = append(deadly, c.submitPrompt(h, sharedPart, deadlyPart))
			} else {
				sound = append(sound, c.submitPrompt(h, sharedPart, otherPart+uint64(c.Rand.IntN(3))))
			}
			c.RunFor(50 * time.Millisecond)
		}
		c.RunFor(15 * time.Second)
		require.LessOrEqual(t, c.Crashes, 5, "seed %d", seed)
		served := 0
		for _, x := range sound {
			if x.Failure == nil {
				served++
			} else {
				require.NotEqual(t, core.KindQuarantined, x.Failure.Kind, "seed %d", seed)
			}
		}
		require.Greater(t, served, len(sound)*9/10, "seed %d", seed)
		for _, x := range deadly[len(deadly)/2:] {
			require.Equal(t, core.KindQuarantined, x.Failure.Kind, "seed %d", seed)
			require.True(t, x.Failure.NotExecuted, "seed %d", seed)
			require.Zero(t, x.AttemptsRun, "seed %d", seed)
			require.Less(t, x.EndedAt.Sub(x.ArrivedAt), 50*time.Millisecond, "seed %d", seed)
		}
		require.Empty(t, c.Violations, "seed %d", seed)
	}
}

// A request that crashed two engines is not sent to a third one, and its caller is told that it ran.
func TestRequestThatCrashesEnginesIsNotRetriedForEver(t *testing.T) {
	c := newQuarantineCluster(t, 1)
	x := c.submitPrompt(c.Hosts[4], sharedPart, deadlyPart)
	c.RunFor(10 * time.Second)
	require.Equal(t, 2, c.Crashes)
	require.Equal(t, core.KindUpstreamFailed, x.Failure.Kind)
	require.False(t, x.Failure.NotExecuted)
}

// Requests that wait for an engine when their part is quarantined are refused then and not at their deadline.
func TestWaitingRequestsAreRefusedWhenTheirPartIsQuarantined(t *testing.T) {
	c := newQuarantineCluster(t, 2)
	for range 160 {
		c.submitPrompt(c.Hosts[0], sharedPart, otherPart)
	}
	waiting := c.submitPrompt(c.Hosts[0], sharedPart, deadlyPart)
	c.Post(c.Hosts[0], core.QuarantineChanged{PromptParts: [][]uint64{{deadlyPart}}})
	require.NotNil(t, waiting.Failure)
	require.Equal(t, core.KindQuarantined, waiting.Failure.Kind)
	require.True(t, waiting.Failure.NotExecuted)
}

// A request that is quarantined during its prefill must not leave its KV cache on the engine until that expires.
func TestQuarantineDuringPrefillFreesTheKVCache(t *testing.T) {
	c := newQuarantineCluster(t, 3)
	x := c.submitPrompt(c.Hosts[4], sharedPart, deadlyPart)
	prefilling := func() bool { return x.AttemptsRun > 0 }
	require.True(t, c.RunUntil(time.Second, prefilling))
	require.Nil(t, x.Failure)
	c.Post(c.Hosts[4], core.QuarantineChanged{PromptParts: [][]uint64{{deadlyPart}}})
	c.RunFor(100 * time.Millisecond)
	require.NotNil(t, x.Failure)
	require.Equal(t, core.KindQuarantined, x.Failure.Kind)
	for _, e := range c.Engines {
		require.Empty(t, e.ActiveAttempts(), "%s", e.ID)
	}
}
