package host_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/host"
)

var (
	addr             = netip.MustParseAddrPort("10.0.0.1:7002")
	timestamp        = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	member           = core.Member{Host: "h", Addr: addr, DataCentre: "dc", Boot: 3, Incarnation: 4, State: core.MemberAlive}
	placementRequest = core.PlacementRequest{Attempt: core.AttemptID{Request: "r", Number: 1}, Pool: "p", Weight: 1, Remaining: time.Second, PrefixHashes: []uint64{1}, Avoid: []core.UpstreamID{"u"}}
	record           = core.IdempotencyRecord{Key: "k", ContentHash: 5, State: core.IdempotencyDone, Host: "h", RecordedAt: timestamp, Response: core.StoredResponse{Status: 200, Body: []byte("x")}}
	change           = core.Change{Kind: core.ChangePutAccount, Account: core.Account{ID: "a", Weight: 1}}
	config           = core.Config{Version: 3, Keys: []core.APIKey{{ID: "k", Account: "a", Hash: core.KeyHash{1, 2}}}}
)

// messages holds an example of each message type.
var messages = []core.Message{
	core.Ping{Seq: 1, From: member, Updates: []core.Member{member}},
	core.Pong{Seq: 1, From: member},
	core.VoteRequest{PreVote: true, Epoch: 2, Disk: "d", LastIndex: 3, LastEpoch: 1},
	core.VoteResponse{Epoch: 2, Granted: true},
	core.AppendRequest{Epoch: 2, PrevIndex: 4, Entries: []core.Entry{{Index: 5, Epoch: 2, Kind: core.EntryIdempotency, Idempotency: record}}, CommitIndex: 4, Round: 9},
	core.AppendResponse{Epoch: 2, OK: true, MatchIndex: 5},
	core.InstallSnapshotRequest{Epoch: 2, Snapshot: core.Snapshot{Index: 9, Config: config, Idempotency: []core.IdempotencyRecord{record}}},
	core.BootstrapRequest{Disk: "d"},
	core.BootstrapResponse{Disk: "d", Bootstrapped: true},
	core.InitialReplicaSet{Replicas: core.ReplicaSet{Members: []core.Replica{{Host: "h", Disk: "d", Voter: true}}}},
	core.LeaseRequest{Seq: 1, HaveVersion: 2},
	core.LeaseGrant{Seq: 1, Duration: time.Second, RenewAfter: time.Second, Leader: "h", Version: 3, Changes: []core.Change{change}, Config: &config},
	core.LeaseHint{Version: 3},
	core.LeaseRedirect{Leader: "h"},
	core.ConfigRequest{HaveVersion: 2},
	core.ConfigUpdate{Version: 3, Changes: []core.Change{change}, Config: &config},
	core.CommandRequest{Command: core.Command{ID: "c", ExpectedVersion: 2, Change: change, ReceivedAt: timestamp}},
	core.CommandResponse{Result: core.CommandResult{ID: "c", Failure: core.Fail(core.KindVersionConflict, "no"), ReceivedAt: timestamp}},
	core.StatusRequest{CorrelationID: 1},
	core.StatusResponse{CorrelationID: 1, Status: core.Status{Leader: "h", Leases: []core.LeaseStatus{{Host: "h", Remaining: time.Second}}}},
	core.IdempotencyRequest{Record: record},
	core.IdempotencyResponse{Request: "r", Record: record, Owned: true},
	core.QuotaRequest{Seq: 1, Items: []core.QuotaRequestItem{{Account: "a", Required: 1, Requested: 2}}},
	core.QuotaGrant{Seq: 1, Items: []core.QuotaGrantItem{{Account: "a", Granted: 5, RetryAfter: time.Second}}},
	placementRequest,
	core.PlacementGrant{Attempt: placementRequest.Attempt, Pool: "p", Decode: "u", DecodeAddr: addr, DecodeDataCentre: "dc", DecodeIncarnation: 2},
	core.PlacementRefused{Attempt: placementRequest.Attempt, Failure: *core.Fail(core.KindOverloaded, "full")},
	core.PlacementRelease{Attempt: placementRequest.Attempt, Pool: "p", Cancel: true},
	core.PlacementReleaseAck{Attempt: placementRequest.Attempt},
	core.PlacementClaim{Request: placementRequest, Decoding: true},
	core.UpstreamUpdate{Announcement: &core.Announcement{ID: "u", Pool: "p", Role: core.RoleBoth, Addr: addr, Slots: 1, MemoryPages: 1}},
	core.ActiveAttempts{Pool: "p", Attempts: []core.AttemptID{placementRequest.Attempt}},
	core.UnknownAttempts{Attempts: []core.AttemptID{placementRequest.Attempt}},
	core.PlacementClaimsRequest{Pool: "p"},
	core.PlacementClaimsResponse{Pool: "p", Claims: []core.PlacementClaim{{Request: placementRequest, Decoding: true}}},
	core.TimeoutNow{Epoch: 3},
	core.RoleChangeRequest{Assignment: core.Assignment{Upstream: "u", Pool: "p", Role: core.RolePrefill}},
	core.AssignmentMismatch{Announcement: core.Announcement{ID: "u", Pool: "p", Role: core.RoleBoth, Addr: addr, Slots: 1, MemoryPages: 1}},
	core.UpstreamList{Seen: []core.SeenUpstream{{Announcement: core.Announcement{ID: "u", Pool: "p", Role: core.RoleService, Addr: addr, Slots: 1}, Age: time.Second}}, Deregistered: []core.UpstreamDeregistered{{ID: "u", Incarnation: 2}, {ID: "v", Age: time.Second}}},
	core.PlacementQueued{Attempt: placementRequest.Attempt},
	core.UpstreamListRequest{},
	core.Gossip{Item: core.GossipItem{ID: core.GossipID{Host: "h", Boot: 3, Number: 4}, Hops: 5, Observation: core.Observation{
		UpstreamFailure: &core.UpstreamFailure{Pool: "p", Upstream: "u", Incarnation: 2},
	}}},
	core.SoundParts{Parts: []uint64{1, 2}},
	core.QuarantineList{
		Quarantines: []core.PromptQuarantine{{Parts: []uint64{7}, Remaining: time.Minute}},
		Requests:    []core.RequestQuarantine{{Fingerprint: 8, Remaining: time.Minute}},
		Crashes:     []core.RequestCrash{{Fingerprint: 9, Upstream: "e1", Incarnation: 3, Age: time.Second}},
	},
	core.StreamOrigin{Stream: "s", Version: "v1", Remaining: time.Minute},
	core.OriginQuery{Request: "r", Stream: "s"},
	core.OriginReply{Request: "r", Stream: "s", Version: "v1", Known: true},
	core.UpstreamLimits{Limits: []core.UpstreamLimit{{Pool: "p", Upstream: "u", Incarnation: 2, RateLimit: 1.5, Age: time.Second, SinceSent: time.Minute}}, Cold: []core.ColdUpstream{{Pool: "p", Upstream: "v", ColdFor: time.Second}}, NewDispatcher: true},
}

func TestMessagesRoundTrip(t *testing.T) {
	types := map[uint32]bool{}
	require.Len(t, messages, host.MessageTypeCount(), "a message type has no example in this test")
	for _, m := range messages {
		e, err := host.Encode(m)
		require.NoError(t, err, "%T", m)
		decoded, err := host.Decode(e)
		require.NoError(t, err, "%T", m)
		reencoded, err := host.Encode(decoded)
		require.NoError(t, err, "%T", m)
		require.Equal(t, e.GetBody(), reencoded.GetBody(), "%T", m)
		require.IsType(t, m, decoded)
		types[e.GetType()] = true
	}
	require.Len(t, types, len(messages))
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	invalid := placementRequest
	invalid.Remaining = -time.Second
	for name, m := range map[string]core.Message{
		"member without ID":  core.Ping{From: core.Member{Addr: addr, State: core.MemberAlive}},
		"gap in entries":     core.AppendRequest{PrevIndex: 4, Entries: []core.Entry{{Index: 7, Kind: core.EntryNoop}}},
		"negative tokens":    core.QuotaRequest{Items: []core.QuotaRequestItem{{Account: "a", Settlements: []core.QuotaSettlement{{Unused: -5}}}}},
		"negative grant":     core.QuotaGrant{Items: []core.QuotaGrantItem{{Account: "a", Granted: -5}}},
		"negative time":      invalid,
		"empty update":       core.UpstreamUpdate{},
		"bad announcement":   core.UpstreamUpdate{Announcement: &core.Announcement{ID: "u", Pool: "p", Role: "unknown"}},
		"no idempotency key": core.IdempotencyRequest{Record: core.IdempotencyRecord{Host: "h", State: core.IdempotencyDone}},
		"negative age":       core.UpstreamList{Deregistered: []core.UpstreamDeregistered{{ID: "u", Age: -time.Second}}},
		"bad change":         core.CommandRequest{Command: core.Command{ID: "c"}},
	} {
		e, err := host.Encode(m)
		require.NoError(t, err, name)
		_, err = host.Decode(e)
		require.Error(t, err, name)
		require.Equal(t, core.KindBadRequest, core.FailureOf(err).Kind, name)
	}
}

// FuzzDecode checks that Decode does not panic on any input and that a decoded message can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		e, err := host.Encode(m)
		require.NoError(f, err)
		f.Add(e.GetType(), e.GetBody())
	}
	f.Fuzz(func(t *testing.T, messageType uint32, body []byte) {
		m, err := host.Decode(&host.Envelope{Type: messageType, Body: body})
		if err != nil {
			return
		}
		_, err = host.Encode(m)
		require.NoError(t, err)
	})
}

// Guards against names of other hosts that grow without limit, and against evacuations that lookups can't rely on.
func TestDecodeRejectsInvalidEvacuations(t *testing.T) {
	for name, m := range map[string]core.Message{
		"long data centre": core.PlacementGrant{Attempt: placementRequest.Attempt, DecodeDataCentre: core.DataCentre(make([]byte, 200))},
		"claim":            core.PlacementClaim{Request: placementRequest, Grant: core.PlacementGrant{PrefillDataCentre: core.DataCentre(make([]byte, 200))}},
		"order":            core.CommandRequest{Command: core.Command{ID: "c", Change: core.Change{Kind: core.ChangeEvacuate, DataCentre: "a b"}}},
		"change":           core.ConfigUpdate{Changes: []core.Change{{Kind: core.ChangeEndEvacuation}}},
		"not sorted":       core.ConfigUpdate{Config: &core.Config{Evacuated: []core.DataCentre{"b", "a"}}},
	} {
		e, err := host.Encode(m)
		require.NoError(t, err, name)
		_, err = host.Decode(e)
		require.Error(t, err, name)
	}
}

// Evacuations, orders and the data centres of grants survive the encoding.
func TestEvacuationsRoundTrip(t *testing.T) {
	order := core.Change{Kind: core.ChangeEvacuate, DataCentre: "a", SeenVersion: 7}
	for _, m := range []core.Message{
		core.CommandRequest{Command: core.Command{ID: "c", ExpectedVersion: core.AnyVersion, Change: order}},
		core.ConfigUpdate{Version: 3, Config: &core.Config{
			Evacuated: []core.DataCentre{"a"}, EvacuationChanges: []core.EvacuationChange{{DataCentre: "a", Version: 3}}, ForgottenEvacuations: 2,
		}},
		core.PlacementGrant{Attempt: placementRequest.Attempt, PrefillDataCentre: "a", DecodeDataCentre: "b"},
	} {
		e, err := host.Encode(m)
		require.NoError(t, err)
		decoded, err := host.Decode(e)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	}
}
