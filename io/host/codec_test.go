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
	addr   = netip.MustParseAddrPort("10.0.0.1:7002")
	at     = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	member = core.Member{Host: "h", Addr: addr, DataCentre: "dc", Boot: 3, Incarnation: 4, State: core.MemberAlive}
	ask    = core.PlaceAsk{Attempt: core.AttemptID{Request: "r", Number: 1}, Pool: "p", Weight: 1, Left: time.Second, Blocks: []uint64{1}, Avoid: []core.UpstreamID{"u"}}
	record = core.OnceRecord{Key: "k", Body: 5, State: core.OnceDone, Host: "h", At: at, Answer: core.StoredAnswer{Status: 200, Body: []byte("x")}}
	change = core.Change{Kind: core.ChangePutAccount, Account: core.Account{ID: "a", Weight: 1}}
	tables = core.Tables{Version: 3, Keys: []core.Key{{ID: "k", Account: "a", Hash: core.KeyHash{1, 2}}}}
)

// messages has one of each type.
var messages = []core.Message{
	core.Ping{Seq: 1, From: member, News: []core.Member{member}},
	core.Pong{Seq: 1, From: member},
	core.VoteAsk{Pre: true, Epoch: 2, Disk: "d", LastIndex: 3, LastEpoch: 1},
	core.VoteReply{Epoch: 2, Granted: true},
	core.Append{Epoch: 2, PrevIndex: 4, Entries: []core.Entry{{Index: 5, Epoch: 2, Kind: core.EntryOnce, Once: record}}, Commit: 4, Round: 9},
	core.AppendReply{Epoch: 2, OK: true, Match: 5},
	core.InstallSnapshot{Epoch: 2, Snapshot: core.Snapshot{Index: 9, Tables: tables, Once: []core.OnceRecord{record}}},
	core.FormAsk{Disk: "d"},
	core.FormReply{Disk: "d", Formed: true},
	core.Formed{Keepers: core.KeeperSet{Members: []core.Keeper{{Host: "h", Disk: "d", Voter: true}}}},
	core.LeaseAsk{Ask: 1, Have: 2},
	core.LeaseGrant{Ask: 1, For: time.Second, Renew: time.Second, Leader: "h", Version: 3, Changes: []core.Change{change}, Tables: &tables},
	core.LeaseHint{Version: 3},
	core.LeaseRedirect{Leader: "h"},
	core.CommandAsk{Command: core.Command{ID: "c", Expect: 2, Change: change, At: at}},
	core.CommandReply{Result: core.CommandResult{ID: "c", Failure: core.Fail(core.KindVersionConflict, "no"), At: at}},
	core.StatusAsk{Ticket: 1},
	core.StatusReply{Ticket: 1, Status: core.Status{Leader: "h", Holders: []core.HolderStatus{{Host: "h", Left: time.Second}}}},
	core.OnceAsk{Record: record},
	core.OnceReply{Request: "r", Record: record, Fresh: true},
	core.QuotaAsk{Ask: 1, Lines: []core.QuotaLine{{Account: "a", Need: 1, Want: 2}}},
	core.QuotaGrant{Ask: 1, Lines: []core.QuotaLent{{Account: "a", Lent: 5, Ready: time.Second}}},
	ask,
	core.Placed{Attempt: ask.Attempt, Pool: "p", Decode: "u", DecodeAddr: addr},
	core.PlaceRefused{Attempt: ask.Attempt, Failure: *core.Fail(core.KindOverloaded, "full")},
	core.PlaceDone{Attempt: ask.Attempt, Pool: "p", Cancel: true},
	core.PlaceDoneReply{Attempt: ask.Attempt},
	core.Claim{Ask: ask, Decoding: true},
	core.UpstreamNews{Announcement: &core.Announcement{ID: "u", Pool: "p", Role: core.RoleBoth, Addr: addr, Slots: 1, Pieces: 1}},
	core.Holding{Pool: "p", Attempts: []core.AttemptID{ask.Attempt}},
	core.HoldingUnknown{Attempts: []core.AttemptID{ask.Attempt}},
	core.ClaimAsk{Pool: "p"},
	core.Claims{Pool: "p", Claims: []core.Claim{{Ask: ask, Decoding: true}}},
	core.TakeOver{Epoch: 3},
	core.ShiftWanted{Assignment: core.Assignment{Upstream: "u", Pool: "p", Role: core.RolePrefill}},
	core.OrderWanted{Announcement: core.Announcement{ID: "u", Pool: "p", Role: core.RoleBoth, Addr: addr, Slots: 1, Pieces: 1}},
	core.UpstreamList{Heard: []core.HeardUpstream{{Announcement: core.Announcement{ID: "u", Pool: "p", Role: core.RoleService, Addr: addr, Slots: 1}, Age: time.Second}}, Gone: []core.UpstreamGone{{ID: "u", Incarnation: 2}}},
	core.PlaceQueued{Attempt: ask.Attempt},
}

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	types := map[uint32]bool{}
	require.Len(t, messages, host.Types(), "a type of message has no example here")
	for _, m := range messages {
		e, err := host.Encode(m)
		require.NoError(t, err, "%T", m)
		back, err := host.Decode(e)
		require.NoError(t, err, "%T", m)
		again, err := host.Encode(back)
		require.NoError(t, err, "%T", m)
		require.Equal(t, e.GetBody(), again.GetBody(), "%T", m)
		require.IsType(t, m, back)
		types[e.GetType()] = true
	}
	require.Len(t, types, len(messages))
}

func TestMessagesCheckThemselves(t *testing.T) {
	bad := ask
	bad.Left = -time.Second
	for name, m := range map[string]core.Message{
		"nameless member":  core.Ping{From: core.Member{Addr: addr, State: core.MemberAlive}},
		"gap in entries":   core.Append{PrevIndex: 4, Entries: []core.Entry{{Index: 7, Kind: core.EntryNoop}}},
		"negative tokens":  core.QuotaAsk{Lines: []core.QuotaLine{{Account: "a", Unused: -5}}},
		"negative loan":    core.QuotaGrant{Lines: []core.QuotaLent{{Account: "a", Lent: -5}}},
		"negative time":    bad,
		"empty news":       core.UpstreamNews{},
		"bad announcement": core.UpstreamNews{Announcement: &core.Announcement{ID: "u", Pool: "p", Role: "cook"}},
		"no once key":      core.OnceAsk{Record: core.OnceRecord{Host: "h", State: core.OnceDone}},
		"bad change":       core.CommandAsk{Command: core.Command{ID: "c"}},
	} {
		e, err := host.Encode(m)
		require.NoError(t, err, name)
		_, err = host.Decode(e)
		require.Error(t, err, name)
		require.Equal(t, core.KindBadRequest, core.FailureOf(err).Kind, name)
	}
}

// FuzzDecode checks that no bytes make Decode panic, and that what it takes can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		e, err := host.Encode(m)
		require.NoError(f, err)
		f.Add(e.GetType(), e.GetBody())
	}
	f.Fuzz(func(t *testing.T, kind uint32, body []byte) {
		m, err := host.Decode(&host.Envelope{Type: kind, Body: body})
		if err != nil {
			return
		}
		_, err = host.Encode(m)
		require.NoError(t, err)
	})
}
