package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/harness"
	"oleanderlever/core/quota"
)

// singleHost is the quota plug-in on one host, without a network: other hosts are messages that the test passes in.
type singleHost struct {
	kernel  *core.Kernel
	now     time.Time
	actions []core.Action
	// acquired counts the requests that got their tokens.
	acquired int
}

func newSingleHost(self core.HostID, boot uint64) *singleHost {
	h := &singleHost{now: harness.StartTime}
	count := core.Plugin{Name: "count", Rank: 99, New: func(core.Env) core.Component {
		return core.Component{Handle: func(_ *core.Turn, ev core.Event) {
			if _, ok := ev.(core.QuotaAcquired); ok {
				h.acquired++
			}
		}}
	}}
	env := core.Env{Self: self, Boot: boot, Rand: rand.New(rand.NewPCG(boot, 0))}
	h.kernel = core.New(env, quota.Plugin(false), verifyAlways(), count)
	cfg := &core.Config{Accounts: []core.Account{{ID: "a", Weight: 1, Rate: rate, Burst: burst}}}
	cfg.BuildIndex()
	h.step(core.ConfigActivated{Config: cfg})
	h.step(core.LeaseLeaderChanged{Leader: "owner", Epoch: 1})
	return h
}

func (h *singleHost) step(ev core.Event) { h.actions = h.kernel.Step(h.now, ev) }

// sent returns the only message that the last step sent.
func (h *singleHost) sent(t *testing.T) core.Message {
	t.Helper()
	require.Len(t, h.actions, 1)
	return h.actions[0].(core.SendMessage).Message
}

// newOwner returns a host that leads since long ago, so that its bucket is full.
func newOwner() *singleHost {
	o := newSingleHost("owner", 1)
	o.step(core.LeaderChanged{Leader: "owner", Epoch: 1, Self: true})
	o.ask("filler", core.QuotaRequest{Seq: 1, Items: []core.QuotaRequestItem{{Account: "a", Required: 1, Requested: 1}}})
	o.now = o.now.Add(10 * time.Second)
	return o
}

func (h *singleHost) ask(from core.HostID, m core.QuotaRequest) {
	h.step(core.MessageReceived{From: from, Message: m})
}

// granted returns the number of tokens that the last step granted.
func (h *singleHost) granted(t *testing.T) core.Tokens {
	t.Helper()
	items := h.sent(t).(core.QuotaGrant).Items
	require.Len(t, items, 1)
	return items[0].Granted
}

// A settlement that arrives after its grant has expired at the owner must not reduce another grant of the same host:
// the bucket would refill while the tokens of that grant can still be spent.
func TestLateSettlementDoesNotReduceAnotherGrant(t *testing.T) {
	for name, settlement := range map[string]core.QuotaSettlement{
		"unused": {Grant: 1, Unused: 100}, "spent": {Grant: 1, Spent: 100},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner()
			start := o.now
			o.ask("x", core.QuotaRequest{Seq: 1, Epoch: 1, Items: []core.QuotaRequestItem{{Account: "a", Required: 100, Requested: 100}}})
			require.Equal(t, core.Tokens(100), o.granted(t))
			o.now = start.Add(900 * time.Millisecond)
			o.ask("x", core.QuotaRequest{Seq: 2, Epoch: 1, Items: []core.QuotaRequestItem{{Account: "a", Required: 1000, Requested: 1000}}})
			require.Equal(t, core.Tokens(1000), o.granted(t))
			o.now = start.Add(1050 * time.Millisecond)
			o.ask("x", core.QuotaRequest{Seq: 3, Epoch: 1, Items: []core.QuotaRequestItem{{Account: "a", Settlements: []core.QuotaSettlement{settlement}}}})
			// The second grant may be spent until 1.85 s; together with it no more than the burst may be granted.
			o.now = start.Add(1840 * time.Millisecond)
			o.ask("y", core.QuotaRequest{Seq: 1, Epoch: 1, Items: []core.QuotaRequestItem{{Account: "a", Required: 2001, Requested: 2001}}})
			require.Zero(t, o.granted(t))
		})
	}
}

// A grant for a request of an earlier start of the process must not be used: its lease is older than that of any request
// of this start.
func TestGrantForEarlierBootIsIgnored(t *testing.T) {
	h := newSingleHost("x", 2)
	h.step(core.AcquireQuota{Request: "r", Account: "a", Cost: 100})
	request := h.sent(t).(core.QuotaRequest)
	grant := core.QuotaGrant{Seq: request.Seq, Boot: 1, Epoch: 1, Items: []core.QuotaGrantItem{{Account: "a", Granted: 100}}}
	h.step(core.MessageReceived{From: "owner", Message: grant})
	require.Zero(t, h.acquired)
	grant.Boot = request.Boot
	h.step(core.MessageReceived{From: "owner", Message: grant})
	require.Equal(t, 1, h.acquired)
}

// Tokens of the grant that expires first are spent first, in whatever order the grants arrived.
func TestTokensThatExpireFirstAreSpentFirst(t *testing.T) {
	h := newSingleHost("x", 1)
	h.step(core.AcquireQuota{Request: "r1", Account: "a", Cost: 100})
	first := h.sent(t).(core.QuotaRequest).Seq
	h.now = h.now.Add(200 * time.Millisecond)
	h.step(core.AcquireQuota{Request: "r2", Account: "a", Cost: 100})
	second := h.sent(t).(core.QuotaRequest).Seq
	for _, seq := range []uint64{second, first} {
		h.step(core.MessageReceived{From: "owner", Message: core.QuotaGrant{
			Seq: seq, Epoch: 1, Items: []core.QuotaGrantItem{{Account: "a", Granted: 150}},
		}})
	}
	require.Equal(t, 2, h.acquired)
	h.now = h.now.Add(200 * time.Millisecond)
	h.step(core.AcquireQuota{Request: "r3", Account: "a", Cost: 20})
	h.step(core.Tick{})
	var settled []core.QuotaSettlement
	for _, a := range h.actions {
		for _, item := range a.(core.SendMessage).Message.(core.QuotaRequest).Items {
			settled = append(settled, item.Settlements...)
		}
	}
	require.Equal(t, []core.QuotaSettlement{{Grant: second, Spent: 100}, {Grant: first, Spent: 120}}, settled)
}
