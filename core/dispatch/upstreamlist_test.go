package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

const (
	listBoot = 7
	freshFor = 2500 * time.Millisecond
)

// replicaList sends a list of a replica and returns how often the complete list was requested.
func (d *driver) replicaList(m core.UpstreamList) int {
	m.Boot = listBoot
	requests := 0
	for _, a := range d.step(core.MessageReceived{From: "replica", Message: m}) {
		if s, ok := a.(core.SendMessage); ok {
			if _, ok := s.Message.(core.UpstreamListRequest); ok {
				requests++
			}
		}
	}
	return requests
}

func serviceAnnouncement(id core.UpstreamID, incarnation uint64) core.SeenUpstream {
	a := core.Announcement{ID: id, Pool: "desk", Role: core.RoleService, Slots: 100, Incarnation: incarnation, Seq: 1}
	a.Addr = upstreamAddr(id)
	return core.SeenUpstream{Announcement: a}
}

// usable returns the upstreams that get calls now which may be repeated.
func (d *driver) usable(number int) map[core.UpstreamID]bool { return d.called(number, true) }

// called returns the upstreams that get calls now.
func (d *driver) called(number int, repeatable bool) map[core.UpstreamID]bool {
	out := map[core.UpstreamID]bool{}
	for n := range 20 {
		r := core.PlacementRequest{
			Attempt: attempt(1000*number + n), Boot: 1, Account: "a", Pool: "desk", Weight: 1, PlainService: true,
			Repeatable: repeatable, Remaining: time.Millisecond, LocalLoad: &core.LocalLoad{EntryHosts: 1},
		}
		d.step(core.MessageReceived{From: "e", Message: r})
		if g, ok := d.grants[r.Attempt]; ok {
			out[g.Decode] = true
			d.step(core.MessageReceived{From: "e", Message: core.PlacementRelease{Attempt: r.Attempt, Pool: "desk"}})
		}
	}
	return out
}

// run lets time pass with a refresh of the replica's list each second.
func (d *driver) run(seconds int, version uint64, missing ...core.UpstreamID) (requests int) {
	started := d.now
	for n := range seconds {
		d.advance(started.Add(time.Duration(n+1) * time.Second).Sub(d.now))
		m := core.UpstreamList{Base: version, Version: version, Refresh: true, FreshFor: freshFor}
		for _, id := range missing {
			m.Missing = append(m.Missing, core.MissingUpstream{ID: id, Age: time.Duration(n+1)*time.Second + freshFor})
		}
		requests += d.replicaList(m)
	}
	return requests
}

// A refresh that names no upstream keeps all upstreams of the list usable; one that is missing for the heartbeat timeout
// gets no work, and work again when it is seen again.
func TestRefreshKeepsUpstreamsUsable(t *testing.T) {
	d := newConfiguredDriver(0, 1, leavingEntryHost, core.Member{Host: "replica", Boot: listBoot, State: core.MemberAlive})
	require.Zero(t, d.replicaList(core.UpstreamList{Version: 3, Seen: []core.SeenUpstream{
		serviceAnnouncement("s1", 1), serviceAnnouncement("s2", 1),
	}}))
	require.Zero(t, d.run(60, 3))
	require.Equal(t, map[core.UpstreamID]bool{"s1": true, "s2": true}, d.usable(1))
	require.Zero(t, d.run(10, 3, "s1"))
	require.Equal(t, map[core.UpstreamID]bool{"s2": true}, d.usable(2))
	require.Zero(t, d.run(1, 3))
	require.Equal(t, map[core.UpstreamID]bool{"s1": true, "s2": true}, d.usable(3))
}

// A lost change is noticed at the next list, and the complete list is requested, at most twice a second. Until it
// arrives, a refresh vouches for nothing.
func TestLostListIsRequested(t *testing.T) {
	d := newConfiguredDriver(0, 1, leavingEntryHost, core.Member{Host: "replica", Boot: listBoot, State: core.MemberAlive})
	require.Equal(t, 1, d.replicaList(core.UpstreamList{Base: 4, Version: 5, Seen: []core.SeenUpstream{serviceAnnouncement("s1", 1)}}))
	require.Zero(t, d.replicaList(core.UpstreamList{Base: 5, Version: 5, Refresh: true, FreshFor: freshFor}), "too early")
	require.Equal(t, 9, d.run(9, 5))
	require.Zero(t, d.replicaList(core.UpstreamList{Version: 6, Seen: []core.SeenUpstream{
		serviceAnnouncement("s1", 1), serviceAnnouncement("s2", 1),
	}}))
	require.Zero(t, d.run(5, 6))
	require.Equal(t, map[core.UpstreamID]bool{"s1": true, "s2": true}, d.usable(1))
	require.Zero(t, d.replicaList(core.UpstreamList{Base: 6, Version: 7, Removed: []core.UpstreamID{"s2"}}))
	require.Equal(t, 1, d.replicaList(core.UpstreamList{Base: 9, Version: 9, Refresh: true, FreshFor: freshFor}))
}

// An upstream at whose address another one was found gets work again if it goes on to announce itself.
func TestMisdirectedUpstreamIsTriedAgain(t *testing.T) {
	d := newConfiguredDriver(0, 1, leavingEntryHost, core.Member{Host: "replica", Boot: listBoot, State: core.MemberAlive})
	d.replicaList(core.UpstreamList{Version: 3, Seen: []core.SeenUpstream{serviceAnnouncement("s1", 1), serviceAnnouncement("s2", 1)}})
	r := core.PlacementRequest{
		Attempt: attempt(1), Boot: 1, Account: "a", Pool: "desk", Weight: 1, PlainService: true, LocalLoad: &core.LocalLoad{EntryHosts: 1},
	}
	d.step(core.MessageReceived{From: "e", Message: r})
	failed := d.grants[r.Attempt].Decode
	d.step(core.MessageReceived{From: "e", Message: core.PlacementRelease{
		Attempt: r.Attempt, Pool: "desk", FailedUpstream: failed, Misdirected: true,
	}})
	require.NotContains(t, d.usable(1), failed)
	d.run(1, 3)
	require.NotContains(t, d.usable(2), failed)
	d.run(2, 3)
	require.Contains(t, d.usable(3), failed)
}

func upstreamAddr(id core.UpstreamID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, id[len(id)-1]}), 80)
}
