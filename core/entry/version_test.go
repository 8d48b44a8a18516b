package entry_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// addVersionedEngines adds two prefill engines and the given number of decode engines of each software version.
func (c *cluster) addVersionedEngines(decode map[core.SoftwareVersion]int) {
	cfg := harness.EngineConfig{
		Pool: model, Role: core.RolePrefill, Slots: 20, Pages: 64, PrefillPerToken: 20 * time.Microsecond, TokenInterval: 20 * time.Millisecond,
		KVHandleTTL: 800 * time.Millisecond, LinkRate: 1e6, ReportDelay: 300 * time.Millisecond, CacheBlocks: 1000, SoftwareVersion: "v1",
	}
	for range 2 {
		c.AddEngine(cfg)
	}
	cfg.Role = core.RoleDecode
	for _, v := range []core.SoftwareVersion{"v1", "v2"} {
		for range decode[v] {
			cfg.SoftwareVersion = v
			c.AddEngine(cfg)
		}
	}
	c.RunFor(time.Second)
}

// Engines of two software versions serve one model and crash in turn. The text of a response must not be joined from both. While
// both versions have engines that live on, most responses go on and are complete.
func TestResponseIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, reliableNetwork(seed, 6))
		c.addVersionedEngines(map[core.SoftwareVersion]int{"v1": 4, "v2": 4})
		for n := range 150 {
			c.submitModelRequest(c.Hosts[c.Rand.IntN(len(c.Hosts))], 50)
			if n%15 == 10 {
				e := c.Engines[2+c.Rand.IntN(8)]
				e.Kill()
				c.After(2*time.Second, e.Restart)
			}
			c.RunFor(100 * time.Millisecond)
		}
		c.RunFor(20 * time.Second)
		require.Empty(t, c.Violations, "seed %d", seed)
		complete := 0
		for _, x := range c.Arrivals {
			if x.Failure == nil && x.RelayedTokens == 50 {
				complete++
			}
		}
		require.Greater(t, complete, len(c.Arrivals)*9/10, "seed %d", seed)
	}
}

// The only engine of a software version ends for good while it sends a response. The caller must get a failure, not the rest
// of another version's response.
func TestResponseOfAVersionThatIsGoneFails(t *testing.T) {
	c := newCluster(t, reliableNetwork(1, 6))
	c.addVersionedEngines(map[core.SoftwareVersion]int{"v1": 1})
	x := c.submitModelRequest(c.Hosts[4], 100)
	require.True(t, c.RunUntil(5*time.Second, func() bool { return !x.FirstTokenAt.IsZero() }))
	c.addVersionedEngines(map[core.SoftwareVersion]int{"v2": 2})
	c.RunFor(100 * time.Millisecond)
	c.Engines[2].Kill()
	c.RunFor(20 * time.Second)
	require.Empty(t, c.Violations)
	require.NotNil(t, x.Failure)
	require.False(t, x.Failure.NotExecuted)
}

// newVersionedHost returns a test host whose engines e1 and e2 have the software versions v1 and v2.
func newVersionedHost(t *testing.T) *testHost {
	h := newTestHost(t, defaultRetryPolicy)
	h.announceVersions(map[core.UpstreamID]core.SoftwareVersion{"e1": "v1", "e2": "v2"})
	return h
}

// announceVersions announces the engines with another incarnation and the given software versions.
func (h *testHost) announceVersions(versions map[core.UpstreamID]core.SoftwareVersion) {
	var list core.UpstreamList
	for n, id := range []core.UpstreamID{"e1", "e2"} {
		if v, ok := versions[id]; ok {
			list.Seen = append(list.Seen, core.SeenUpstream{Announcement: core.Announcement{
				ID: id, Pool: "engine", Role: core.RoleDecode, Slots: 8, MemoryFromConfig: true, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(n)}), 80),
				Incarnation: uint64(h.now.UnixMilli()), Seq: 1, SoftwareVersion: v,
			}})
		}
	}
	h.step(core.MessageReceived{From: "replica", Message: list})
}

// begin submits a stream that sends its first event, and returns the engine that has it.
func (h *testHost) begin(id core.RequestID) core.RunDecode {
	h.submit(id, "/stream-resumable/1")
	d := h.lastDecode(id)
	h.step(core.FirstToken{Attempt: d.Attempt})
	return d
}

func (h *testHost) lastDecode(id core.RequestID) core.RunDecode {
	decodes := slices.DeleteFunc(actionsOf[core.RunDecode](h), func(d core.RunDecode) bool { return d.Attempt.Request != id })
	require.NotEmpty(h.t, decodes)
	return decodes[len(decodes)-1]
}

// takeUp submits a request that continues the stream of another one.
func (h *testHost) takeUp(id, origin core.RequestID) {
	h.step(core.RequestArrived{Request: core.Request{
		ID: id, Host: "h", Path: "/stream-resumable/1", KeyHash: core.KeyHash{1}, HasKey: true, PromptTokens: 1000, MaxOutput: 500,
		Deadline: h.now.Add(10 * time.Second), Continues: true, Origin: origin,
	}})
	h.advance(time.Second)
}

// lose ends a stream by a lost connection after three events.
func (h *testHost) lose(d core.RunDecode) {
	h.step(core.DecodeEnded{Attempt: d.Attempt, RelayedTokens: 3, Failure: connectionLost, ConnectionLost: true})
}

// A stream goes on at an engine of its software version, within the response and when its caller takes it up, whichever engine is
// less loaded.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	h := newVersionedHost(t)
	for n := range 20 {
		id := core.RequestID("r" + string(rune('a'+n)))
		d := h.begin(id)
		h.lose(d)
		second := h.lastDecode(id)
		require.Equal(t, 2, second.Attempt.Number, "a stream whose engine lives on was not resumed")
		require.Equal(t, d.UpstreamID, second.UpstreamID)
		h.lose(second)
		require.NotNil(t, h.refusal(id))
		h.takeUp("again-"+id, id)
		third := h.lastDecode("again-" + id)
		require.Equal(t, d.UpstreamID, third.UpstreamID)
		h.step(core.DecodeEnded{Attempt: third.Attempt, RelayedTokens: 3})
	}
}

// A stream whose software version is gone, or that began nobody knows where while there are two versions, must be refused as not
// executed when its caller takes it up.
func TestStreamOfAnUnknownOrGoneVersionIsRefused(t *testing.T) {
	h := newVersionedHost(t)
	h.advance(30 * time.Second)
	h.announceVersions(map[core.UpstreamID]core.SoftwareVersion{"e1": "v1", "e2": "v2"})
	for _, origin := range []core.RequestID{"unknown", ""} {
		id := "of-" + origin
		h.takeUp(id, origin)
		h.advance(5 * time.Second)
		require.NotNil(t, h.refusal(id), "origin %q", origin)
		require.True(t, h.refusal(id).NotExecuted)
	}
	d := h.begin("r")
	h.announceVersions(map[core.UpstreamID]core.SoftwareVersion{"e1": "v3", "e2": "v3"})
	h.lose(d)
	require.NotNil(t, h.refusal("r"), "the stream went on at another version")
	h.takeUp("again", "r")
	h.advance(10 * time.Second)
	require.NotNil(t, h.refusal("again"))
	require.True(t, h.refusal("again").NotExecuted)
}

// Streams of one version go on as ever, also for callers that don't name the origin.
func TestStreamsOfOneVersionGoOn(t *testing.T) {
	h := newTestHost(t, defaultRetryPolicy)
	h.advance(40 * time.Second)
	h.announceVersions(map[core.UpstreamID]core.SoftwareVersion{"e1": "v1", "e2": "v1"})
	for n := range 100 {
		h.advance(time.Second)
		h.announceVersions(map[core.UpstreamID]core.SoftwareVersion{"e1": "v1", "e2": "v1"})
		if n < 60 {
			continue
		}
		for _, origin := range []core.RequestID{"unknown", ""} {
			id := core.RequestID("r"+string(rune('0'+n))) + origin
			h.takeUp(id, origin)
			h.step(core.DecodeEnded{Attempt: h.lastDecode(id).Attempt, RelayedTokens: 3})
		}
	}
}
