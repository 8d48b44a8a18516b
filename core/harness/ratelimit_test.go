package harness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

const (
	// limitWindow, limitBurst and limitFactor are the stated target: in any window an upstream gets no more than limitFactor
	// times what its limit allows, plus limitBurst. It holds from limitGrace after the first response with the limit.
	limitWindow = 4 * time.Second
	limitBurst  = 5
	limitFactor = 1.5
	limitGrace  = 3 * time.Second
)

func allowedArrivals(rate core.RequestRate) int {
	return int(limitFactor*float64(rate)*limitWindow.Seconds() + limitBurst)
}

// call makes a call through a random host that is up.
func (f *fleet) call() *harness.Exchange {
	h := f.Hosts[f.Rand.IntN(hosts)]
	for !h.Up {
		h = f.Hosts[f.Rand.IntN(hosts)]
	}
	r := core.Request{KeyHash: core.KeyHash{1}, HasKey: true, Path: "/menu", Deadline: f.Now.Add(2 * time.Second)}
	return f.Submit(h, "a", r, harness.Spec{Content: "menu"})
}

// Upstreams that named a limit got far more requests, since each host sent without asking the others. A limit holds for all
// hosts together, also while hosts restart one after the other, and what is left of the pool serves the rest.
func TestUpstreamsOverTheirLimit(t *testing.T) {
	const interval, duration = 15 * time.Millisecond, 25 * time.Second
	for _, test := range []struct {
		name    string
		limits  []core.RequestRate
		restart bool
		// served is the share of the calls that must be served.
		served float64
	}{
		{name: "one of four", limits: []core.RequestRate{5}, served: 0.99},
		{name: "three of four", limits: []core.RequestRate{1, 3, 8}, served: 0.99},
		{name: "all", limits: []core.RequestRate{2, 2, 4, 8}, served: 0.15},
		{name: "restarts", limits: []core.RequestRate{1, 3, 8}, restart: true, served: 0.95},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed)
				calls, served := 0, 0
				var made []*harness.Exchange
				for i, rate := range test.limits {
					f.Services[i].Rate = rate
				}
				for begin, next := f.Now, 0; f.Now.Sub(begin) < duration; f.RunFor(interval) {
					made = append(made, f.call())
					if test.restart && f.Now.Sub(begin) > time.Duration(next+1)*time.Second && next < hosts {
						h := f.Hosts[next]
						next++
						f.Crash(h)
						f.After(800*time.Millisecond, func() { f.Boot(h) })
					}
				}
				f.RunFor(3 * time.Second)
				for _, x := range made {
					if f.HostAlive(x) {
						calls++
					}
					if f.HostAlive(x) && x.Responses == 1 && x.Failure == nil {
						served++
					}
				}
				for i, rate := range test.limits {
					s := f.Services[i]
					require.False(t, s.StatedAt.IsZero(), "seed %d, %s: never named its limit", seed, s.ID)
					got := s.MostArrivals(s.StatedAt.Add(limitGrace), limitWindow)
					require.LessOrEqual(t, got, allowedArrivals(rate), "seed %d, %s: limit of %v a second", seed, s.ID, rate)
				}
				require.GreaterOrEqual(t, float64(served), test.served*float64(calls), "seed %d", seed)
				require.Empty(t, f.Violations, "seed %d", seed)
			}
		})
	}
}

// Once responses name no limit any more, the upstream gets its share again.
func TestLimitEndsWithTheResponses(t *testing.T) {
	f := newFleet(t, 1)
	limited := f.Services[0]
	limited.Rate = 2
	for range 400 {
		f.call()
		f.RunFor(15 * time.Millisecond)
	}
	limited.Rate = 0
	f.RunFor(time.Second)
	for range 100 {
		f.call()
		f.RunFor(15 * time.Millisecond)
	}
	before := len(limited.Arrivals)
	for range 400 {
		f.call()
		f.RunFor(15 * time.Millisecond)
	}
	require.Greater(t, len(limited.Arrivals)-before, 60)
}
