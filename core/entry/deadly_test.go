package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// deadlyContent is the content hash of a request that crashes each upstream that begins to execute it. Sound requests have others.
const deadlyContent = uint64(1)

// newDeadlyCluster returns a cluster of six hosts, two prefill and eight decode engines and four instances of a plain service, which
// the request with deadlyContent crashes.
func newDeadlyCluster(t *testing.T, seed uint64) *cluster {
	c := newQuarantineCluster(t, seed)
	c.DeadlyParts, c.DeadlyContent = nil, map[uint64]bool{deadlyContent: true}
	for range 4 {
		c.AddService(orders, 15*time.Millisecond)
	}
	c.RunFor(2 * time.Second)
	return c
}

func (c *cluster) submitCall(h *harness.Host, path string, content uint64) *harness.Exchange {
	r := core.Request{KeyHash: core.KeyHash{1}, HasKey: true, Path: path, ContentHash: content, Deadline: c.Now.Add(2 * time.Second)}
	return c.Submit(h, "a", r, harness.Spec{Content: path})
}

func (c *cluster) submitStream(h *harness.Host, content uint64) *harness.Exchange {
	r := core.Request{
		KeyHash: core.KeyHash{1}, HasKey: true, Model: model, PromptTokens: 500, MaxOutput: 20, PromptParts: []uint64{sharedPart},
		ContentHash: content, Deadline: c.Now.Add(10 * time.Second),
	}
	return c.Submit(h, "a", r, harness.Spec{PromptLength: 500, OutputLength: 20})
}

// A caller sends a request that crashes its upstream again and again, at any host. After the third crash at most three more may
// happen, the request must be refused at once and truthfully everywhere, and sound requests must be served.
func TestRepeatedRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	submit := map[string]func(c *cluster, h *harness.Host, content uint64) *harness.Exchange{
		"call": func(c *cluster, h *harness.Host, content uint64) *harness.Exchange {
			return c.submitCall(h, "/orders", content)
		},
		"idempotent call": func(c *cluster, h *harness.Host, content uint64) *harness.Exchange {
			return c.submitCall(h, "/menu", content)
		},
		"stream": func(c *cluster, h *harness.Host, content uint64) *harness.Exchange {
			return c.submitStream(h, content)
		},
	}
	for name, send := range submit {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				c := newDeadlyCluster(t, seed)
				var sound, deadly []*harness.Exchange
				for n := range uint64(800) {
					h := c.Hosts[c.Rand.IntN(len(c.Hosts))]
					if n%6 == 5 {
						deadly = append(deadly, send(c, h, deadlyContent))
					} else {
						sound = append(sound, send(c, h, deadlyContent+1+n%500))
					}
					c.RunFor(50 * time.Millisecond)
				}
				c.RunFor(15 * time.Second)
				require.LessOrEqual(t, c.Crashes, 6, "seed %d", seed)
				for _, x := range deadly[len(deadly)/2:] {
					require.NotNil(t, x.Failure, "seed %d", seed)
					require.Equal(t, core.KindQuarantined, x.Failure.Kind, "seed %d", seed)
					require.True(t, x.Failure.NotExecuted, "seed %d", seed)
					require.Zero(t, x.AttemptsRun, "seed %d", seed)
					require.Less(t, x.EndedAt.Sub(x.ArrivedAt), 50*time.Millisecond, "seed %d", seed)
				}
				served := 0
				for _, x := range sound {
					if x.Failure == nil {
						served++
					} else {
						require.NotEqual(t, core.KindQuarantined, x.Failure.Kind, "seed %d", seed)
					}
				}
				require.Greater(t, served, len(sound)*9/10, "seed %d", seed)
				require.Empty(t, c.Violations, "seed %d", seed)
			}
		})
	}
}

// Requests with equal content come from many callers' tools, such as a lookup without a body. They must be served although
// upstreams crash for other reasons while they run, for as long as some of them are complete.
func TestEqualRequestsAreServedWhileUpstreamsCrash(t *testing.T) {
	const content = deadlyContent + 1
	for seed := range uint64(5) {
		c := newDeadlyCluster(t, seed)
		var lookups []*harness.Exchange
		for n := range 1500 {
			if n%40 == 20 {
				s := c.Services[c.Rand.IntN(len(c.Services))]
				s.Crash()
				c.After(time.Second, s.Restart)
			}
			lookups = append(lookups, c.submitCall(c.Hosts[c.Rand.IntN(len(c.Hosts))], "/menu", content))
			c.RunFor(20 * time.Millisecond)
		}
		c.RunFor(5 * time.Second)
		served := 0
		for _, x := range lookups {
			if x.Failure == nil {
				served++
			} else {
				require.NotEqual(t, core.KindQuarantined, x.Failure.Kind, "seed %d", seed)
			}
		}
		require.Greater(t, served, len(lookups)*9/10, "seed %d", seed)
	}
}
