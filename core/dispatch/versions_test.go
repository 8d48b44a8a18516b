package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
)

// announceVersion announces a decode engine with two slots and a software version.
func (d *driver) announceVersion(id core.UpstreamID, port uint16, version core.SoftwareVersion, leaving bool) {
	d.step(core.UpstreamAnnounced{Announcement: core.Announcement{
		ID: id, Pool: pool, Role: core.RoleDecode, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
		Incarnation: 1, Slots: 2, MemoryPages: 64, SoftwareVersion: version, Leaving: leaving,
	}})
}

// requestVersion asks for the placement of an attempt that continues a stream of a software version.
func (d *driver) requestVersion(number int, version core.SoftwareVersion, avoid ...core.UpstreamID) {
	d.step(core.MessageReceived{From: "e", Message: core.PlacementRequest{
		Attempt: attempt(number), Boot: 1, Account: "a", Pool: pool, Weight: 1, PromptTokens: 100, OutputTokens: 100,
		Remaining: time.Minute, FixedVersion: true, SoftwareVersion: version, Avoid: avoid,
	}})
}

// The engines of a new software version are idle, and there are more of them than are compared for one placement. A stream of the old
// version must go to its only engine, also if it failed there, must not keep others from being placed while it waits, and must be
// refused once that engine is leaving.
func TestStreamIsPlacedAtItsSoftwareVersion(t *testing.T) {
	d := newDriver(leavingEntryHost)
	for range 4 {
		d.announceEngine("p", core.RolePrefill, 64, 64, 9000)
		d.announceVersion("old", 9001, "v1", false)
		for n := range 300 {
			d.announceVersion(core.UpstreamID(fmt.Sprint("new-", n)), uint16(10_000+n), "v2", false)
		}
		d.advance(time.Second)
	}
	d.requestVersion(1, "v1")
	d.requestVersion(2, "v1", "old")
	for number := 1; number <= 2; number++ {
		require.Equal(t, core.UpstreamID("old"), d.grants[attempt(number)].Decode)
		require.Equal(t, core.SoftwareVersion("v1"), d.grants[attempt(number)].DecodeVersion)
	}
	d.requestVersion(3, "v1")
	d.requestPlacement(4, "b", 100)
	require.NotContains(t, d.grants, attempt(3), "the engine is full")
	require.Contains(t, d.grants, attempt(4))
	d.release(1)
	require.Equal(t, core.UpstreamID("old"), d.grants[attempt(3)].Decode)
	d.requestVersion(5, "v1")
	d.announceVersion("old", 9001, "v1", true)
	d.requestVersion(6, "v1")
	d.advance(time.Second)
	for number := 5; number <= 6; number++ {
		require.Equal(t, core.KindVersionUnavailable, d.refusals[attempt(number)].Kind, "attempt %d", number)
		require.True(t, d.refusals[attempt(number)].NotExecuted)
	}
}
