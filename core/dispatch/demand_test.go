package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
	"oleanderlever/core/gossip"
)

// newConfiguredDriver returns a driver with a pool of engines with configured memory; the first of them are prefill
// engines. Every host places some of its own attempts.
func newConfiguredDriver(prefillEngines, decodeEngines int, hosts ...core.Member) *driver {
	d := newDriver()
	env := core.Env{
		Self: "d", Rand: rand.New(rand.NewPCG(1, 1)), Limits: core.DefaultLimits(), Placement: core.PlacementMixed,
		UpstreamHeartbeatTimeout: 5 * time.Second,
	}
	d.k = core.New(env, gossip.Plugin(), dispatch.Plugin())
	d.step(core.MembersChanged{Members: append([]core.Member{
		{Host: "d", Boot: 1, State: core.MemberAlive, Entry: true},
	}, hosts...)})
	d.step(core.ConfigActivated{Config: &core.Config{Pools: []core.Pool{
		{ID: pool, Engine: &core.Engine{Slots: 64, KVCacheTokens: 40_000, KVBlockTokens: 16}},
	}}})
	d.step(core.LeaseLeaderChanged{Leader: "leader", Epoch: 1})
	for n := range prefillEngines + decodeEngines {
		d.announceConfigured(n, prefillEngines)
	}
	return d
}

func (d *driver) announceConfigured(n, prefillEngines int) {
	role := core.RoleDecode
	if n < prefillEngines {
		role = core.RolePrefill
	}
	a := core.Announcement{
		ID: core.UpstreamID(fmt.Sprint("u", n)), Pool: pool, Role: role, Slots: 64, MemoryFromConfig: true, Incarnation: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80),
	}
	d.step(core.MessageReceived{From: "replica", Message: core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: a}}}})
}

// workload is the interval between requests and the durations of their prefills and decodes.
type workload struct{ interval, prefill, decode time.Duration }

// roleChanges runs streams of 4,000 tokens for a duration and returns the requested role changes.
func (d *driver) roleChanges(w workload, prefillEngines, decodeEngines int, duration time.Duration) []core.Assignment {
	var out []core.Assignment
	type release struct {
		at      time.Time
		message core.PlacementRelease
	}
	var scheduled []release
	const step = 10 * time.Millisecond
	begin := d.now
	for n := 0; d.now.Sub(begin) < duration; d.now = d.now.Add(step) {
		if d.now.Sub(begin) >= time.Duration(n)*w.interval {
			d.requestPlacement(n, "a", 3900)
			n++
			scheduled = append(scheduled,
				release{
					at:      d.now.Add(w.prefill),
					message: core.PlacementRelease{Attempt: attempt(n - 1), Pool: pool, PrefillOnly: true},
				},
				release{
					at:      d.now.Add(w.prefill + w.decode),
					message: core.PlacementRelease{Attempt: attempt(n - 1), Pool: pool},
				})
		}
		for i := range scheduled {
			if at := scheduled[i].at; !at.IsZero() && !d.now.Before(at) {
				d.step(core.MessageReceived{From: "e", Message: scheduled[i].message})
				scheduled[i].at = time.Time{}
			}
		}
		if d.now.Sub(begin)%time.Second == 0 {
			for n := range prefillEngines + decodeEngines {
				d.announceConfigured(n, prefillEngines)
			}
		}
		for _, a := range d.step(core.Tick{}) {
			if m, ok := a.(core.SendMessage); ok {
				if change, ok := m.Message.(core.RoleChangeRequest); ok {
					out = append(out, change.Assignment)
				}
			}
		}
	}
	return out
}

// Engines are split between the roles for the highest capacity, also while neither role is overloaded.
func TestEnginesAreSplitByDemand(t *testing.T) {
	for name, c := range map[string]struct {
		workload                      workload
		prefillEngines, decodeEngines int
		to                            core.Role
	}{
		"long responses, many prefill engines": {
			workload{100 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second}, 5, 7, core.RoleDecode,
		},
		"fewer engines than before": {
			workload{100 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}, 4, 3, core.RoleDecode,
		},
		"balanced": {
			workload{100 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}, 3, 8, "",
		},
		"long prompts, short responses": {
			workload{100 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond}, 3, 6, core.RolePrefill,
		},
		"a large pool, where one engine changes little": {
			workload{20 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second}, 14, 26, core.RoleDecode,
		},
		"minimum of each role": {
			workload{200 * time.Millisecond, 50 * time.Millisecond, 4 * time.Second}, 2, 4, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newConfiguredDriver(c.prefillEngines, c.decodeEngines, leavingEntryHost)
			changes := d.roleChanges(c.workload, c.prefillEngines, c.decodeEngines, 12*time.Second)
			if c.to == "" {
				require.Empty(t, changes)
				return
			}
			require.NotEmpty(t, changes)
			require.Equal(t, c.to, changes[0].Role)
		})
	}
}

// A host that does not dispatch the pool requests no role changes, whatever the state of its own pool.
func TestOnlyTheDispatcherRequestsRoleChanges(t *testing.T) {
	requesting := 0
	for n := range 8 {
		d := newConfiguredDriver(5, 7, leavingEntryHost, core.Member{
			Host: core.HostID(fmt.Sprint("f", n)), Boot: 1, State: core.MemberAlive, Entry: true,
		})
		if len(d.roleChanges(workload{
			100 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second,
		}, 5, 7, 12*time.Second)) > 0 {
			requesting++
		}
	}
	require.Positive(t, requesting)
	require.Less(t, requesting, 8, "another host dispatches the pool with some sets of members")
}
