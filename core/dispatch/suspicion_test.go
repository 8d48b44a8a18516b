package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// newServiceDriver returns a driver with plain services s1 to s4 and a number of other entry hosts.
func newServiceDriver(hosts int) *driver {
	members := []core.Member{leavingEntryHost, {Host: "replica", Boot: listBoot, State: core.MemberAlive}}
	for n := range hosts {
		members = append(members, core.Member{Host: core.HostID(fmt.Sprint("f", n)), Boot: 1, State: core.MemberAlive, Entry: true})
	}
	d := newConfiguredDriver(0, 1, members...)
	d.replicaList(core.UpstreamList{Version: 3, Seen: []core.SeenUpstream{
		serviceAnnouncement("s1", 1), serviceAnnouncement("s2", 1), serviceAnnouncement("s3", 1), serviceAnnouncement("s4", 1),
	}})
	return d
}

// suspect delivers the failures that other hosts have seen, and returns the messages that pass them on. Each call delivers
// other items, as after further failures.
func (d *driver) suspect(id core.UpstreamID, witnesses ...core.HostID) []core.GossipItem {
	var passedOn []core.GossipItem
	for _, w := range witnesses {
		d.itemNumber++
		passedOn = append(passedOn, d.receive(core.GossipItem{
			ID: core.GossipID{Host: w, Boot: 1, Number: d.itemNumber}, Hops: 3,
			Observation: core.Observation{UpstreamFailure: &core.UpstreamFailure{Pool: "desk", Upstream: id, Incarnation: 1}},
		})...)
	}
	return passedOn
}

// receive delivers an item and returns the messages that pass it on.
func (d *driver) receive(item core.GossipItem) []core.GossipItem {
	return gossipItems(d.step(core.MessageReceived{From: "f1", Message: core.Gossip{Item: item}}))
}

func gossipItems(actions []core.Action) []core.GossipItem {
	var out []core.GossipItem
	for _, a := range actions {
		if s, ok := a.(core.SendMessage); ok {
			if m, ok := s.Message.(core.Gossip); ok {
				out = append(out, m.Item)
			}
		}
	}
	return out
}

// fail lets a call at an upstream fail and returns the messages that report it.
func (d *driver) fail(number int, id core.UpstreamID) []core.GossipItem {
	for n := 0; ; n++ {
		r := core.PlacementRequest{
			Attempt: attempt(1000*number + n), Boot: 1, Account: "a", Pool: "desk", Weight: 1, PlainService: true,
			Repeatable: true, LocalLoad: &core.LocalLoad{EntryHosts: 1},
		}
		d.step(core.MessageReceived{From: "e", Message: r})
		release := core.PlacementRelease{Attempt: r.Attempt, Pool: "desk"}
		if d.grants[r.Attempt].Decode == id {
			release.FailedUpstream = id
			return gossipItems(d.step(core.MessageReceived{From: "e", Message: release}))
		}
		d.step(core.MessageReceived{From: "e", Message: release})
	}
}

var (
	allServices = map[core.UpstreamID]bool{"s1": true, "s2": true, "s3": true, "s4": true}
	withoutS1   = map[core.UpstreamID]bool{"s2": true, "s3": true, "s4": true}
)

// One host's failure changes nothing, since the host may be the cause. With two, calls that must not be repeated avoid the
// upstream, with three all calls do; the calls that can be repeated try it again first.
func TestCallsAvoidAnUpstreamThatFailsSeveralHosts(t *testing.T) {
	d := newServiceDriver(6)
	d.suspect("s1", "f9")
	d.run(2, 3)
	d.suspect("s1", "f1")
	d.suspect("s1", "f1")
	require.Equal(t, allServices, d.called(1, false))
	d.suspect("s1", "f2")
	require.Equal(t, withoutS1, d.called(2, false))
	require.Equal(t, allServices, d.called(3, true))
	d.suspect("s1", "f3")
	require.Equal(t, withoutS1, d.called(4, true))
	d.run(2, 3)
	require.Equal(t, allServices, d.called(5, true))
	require.Equal(t, withoutS1, d.called(6, false))
	d.run(1, 3)
	require.Equal(t, allServices, d.called(7, false))
}

// If most upstreams of a pool seem to fail, the cause lies elsewhere, and none is avoided.
func TestMostOfAPoolIsNeverAvoided(t *testing.T) {
	d := newServiceDriver(6)
	for _, id := range []core.UpstreamID{"s1", "s2"} {
		d.suspect(id, "f1", "f2", "f3")
	}
	require.Equal(t, map[core.UpstreamID]bool{"s3": true, "s4": true}, d.called(1, true))
	d.suspect("s3", "f1", "f2", "f3")
	require.Equal(t, allServices, d.called(2, true))
}

// A failure is passed on to a few hosts, and only by hosts to which it is new. A host at which most upstreams fail may be
// cut off, and reports none of them any more.
func TestFailuresSpread(t *testing.T) {
	d := newServiceDriver(20)
	reports := d.fail(1, "s1")
	require.Len(t, reports, 4)
	require.Equal(t, core.HostID("d"), reports[0].ID.Host)
	require.Equal(t, core.UpstreamID("s1"), reports[0].Observation.UpstreamFailure.Upstream)
	require.Empty(t, d.fail(2, "s1"), "repeated")
	require.Len(t, d.suspect("s1", "f1"), 4)
	require.Empty(t, d.suspect("s1", "f1"), "repeated")
	require.Len(t, d.suspect("s1", "f2"), 4)
	require.Empty(t, d.suspect("s1", "f3"), "enough hosts know of enough failures")
	require.Len(t, d.fail(3, "s2"), 4)
	require.Empty(t, d.fail(4, "s3"))
}
