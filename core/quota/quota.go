package quota

import (
	"time"

	"oleanderlever/core"
)

const rank = 40

type component struct {
	holder holder
	owner  owner
	deputy deputy
}

func init() { core.Register(Plugin(false)) }

// Plugin returns the quota plug-in; skipGracePeriod is for tests only and lets a new owner grant tokens as if no
// grants were outstanding.
func Plugin(skipGracePeriod bool) core.Plugin {
	return core.Plugin{Name: "quota", Rank: rank, New: func(env core.Env) core.Component { return newComponent(env, skipGracePeriod) }}
}

func newComponent(env core.Env, skipGracePeriod bool) core.Component {
	emptyConfig := &core.Config{}
	c := &component{
		holder: holder{
			boot: env.Boot, config: emptyConfig, policy: env.Quota, maxEntryHosts: 1, rand: env.Rand,
			accounts: map[core.AccountID]*localAccount{}, sentAt: map[uint64]time.Time{},
		},
		owner: owner{
			skipGracePeriod: skipGracePeriod, initialTokens: env.Quota.InitialTokens, config: emptyConfig,
			verifyQueue: core.VerifyQueue[pendingRequest]{ID: core.VerifyQueueQuota},
		},
		deputy: newDeputy(env.Quota, emptyConfig),
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.ConfigActivated:
		c.holder.config, c.owner.config, c.deputy.config = e.Config, e.Config, e.Config
	case core.ConfigCommitted:
		c.owner.configCommitted(t, e)
	case core.LeaseLeaderChanged:
		c.holder.leader = e.Leader
	case core.MembersChanged:
		c.holder.membersChanged(e.Members)
		c.deputy.membersChanged(e.Members)
	case core.LeaderChanged:
		c.owner.leaderChanged(t, e)
	case core.LeaderVerified:
		c.owner.leaderVerified(t, e)
	case core.AcquireQuota:
		c.holder.acquire(t, e)
	case core.RefundQuota:
		c.holder.refund(t, e)
	case core.CancelQuota:
		c.holder.cancel(e)
	case core.Drained:
		c.holder.returnAll(t)
	case core.Tick:
		c.holder.tick(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.QuotaRequest:
		if m.Fallback {
			c.deputy.handleRequest(t, from, m)
			return
		}
		c.owner.handleRequest(t, from, m)
	case core.QuotaGrant:
		c.holder.handleGrant(t, m)
	}
}

func (c *component) nextDeadline() time.Time {
	return core.Earlier(c.holder.nextTick, c.holder.ownerTimeoutAt)
}

func (c *component) gauges(set func(string, int64)) {
	set("accountsAtHand", int64(len(c.holder.accounts)))
	set("buckets", int64(len(c.owner.buckets)))
}
