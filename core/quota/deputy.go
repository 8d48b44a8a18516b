package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderlever/core"
)

// deputyTimeout is how long a request waits for the deputy before it enters the lottery.
const deputyTimeout = 100 * time.Millisecond

// deputy grants tokens while the owner is away. Each client account has one, the entry host with the highest rendezvous
// hash, so that the fallback rate of an account is not divided over all hosts: with hundreds of them, the share of one
// is smaller than a request for minutes. A deputy grants at the fallback rate and never more than
// QuotaPolicy.FallbackBurst at once, and only while it knows most of the entry hosts as live, so that the hosts on two
// sides of a partition cannot each have one.
type deputy struct {
	policy       core.QuotaPolicy
	config       *core.Config
	buckets      map[core.AccountID]*fallbackBucket
	lastRequests requestLog
	// liveEntryHosts is the number of entry hosts that are live, maxEntryHosts the largest number seen at once.
	liveEntryHosts, maxEntryHosts int
}

// fallbackBucket is the token bucket of one account; level is in tokens and may be fractional.
type fallbackBucket struct {
	level      float64
	refilledAt time.Time
}

func newDeputy(policy core.QuotaPolicy, config *core.Config) deputy {
	return deputy{
		policy: policy, config: config, buckets: map[core.AccountID]*fallbackBucket{}, lastRequests: requestLog{},
	}
}

// membersChanged updates the number of live hosts and forgets the requests of hosts that are gone.
func (d *deputy) membersChanged(members []core.Member) {
	d.liveEntryHosts = core.CountEntryHosts(members)
	d.maxEntryHosts = max(d.maxEntryHosts, d.liveEntryHosts)
	live := map[core.HostID]bool{}
	for i := range members {
		live[members[i].Host] = true
	}
	for h := range d.lastRequests {
		if !live[h] {
			delete(d.lastRequests, h)
		}
	}
}

// handleRequest grants all of the required tokens of each item, or none.
func (d *deputy) handleRequest(t *core.Turn, from core.HostID, m core.QuotaRequest) {
	if !d.lastRequests.accept(from, &m) {
		return
	}
	g := core.QuotaGrant{Seq: m.Seq, Boot: m.Boot, Fallback: true}
	for _, item := range m.Items {
		granted := core.Tokens(0)
		if 2*d.liveEntryHosts > d.maxEntryHosts && d.take(t.Now, item.Account, item.Required) {
			granted = item.Required
		}
		g.Items = append(g.Items, core.QuotaGrantItem{Account: item.Account, Granted: granted})
	}
	t.Send(from, g)
}

// take takes tokens from an account's bucket and reports false if it has too few.
func (d *deputy) take(now time.Time, id core.AccountID, amount core.Tokens) bool {
	account, ok := d.config.Account(id)
	if !ok {
		delete(d.buckets, id)
		return false
	}
	limit := float64(min(d.policy.FallbackBurst, account.Burst))
	b := d.buckets[id]
	if b == nil {
		b = &fallbackBucket{level: limit, refilledAt: now}
		d.buckets[id] = b
	}
	refill := now.Sub(b.refilledAt).Seconds() * d.policy.FallbackRateShare * float64(account.Rate)
	b.level, b.refilledAt = min(limit, b.level+refill), now
	if float64(amount) > b.level {
		return false
	}
	b.level -= float64(amount)
	return true
}

// deputyOf returns the live entry host that is the deputy for an account, or "" if there is none.
func deputyOf(id core.AccountID, members []core.Member) core.HostID {
	var best core.HostID
	var highest uint64
	for i := range members {
		if m := &members[i]; m.Entry && !m.Leaving {
			if hash := xxhash.Sum64String(string(id) + "\x00" + string(m.Host)); best == "" || hash > highest {
				best, highest = m.Host, hash
			}
		}
	}
	return best
}

// askDeputy requests the tokens of each queued request from the account's deputy, once.
func (h *holder) askDeputy(t *core.Turn, id core.AccountID, a *localAccount) {
	if h.policy.FallbackBurst == 0 {
		return
	}
	for i := range a.queue {
		q := &a.queue[i]
		if q.deputySeq != 0 || q.cost > h.policy.FallbackBurst {
			continue
		}
		to := deputyOf(id, h.members)
		if to == "" {
			return
		}
		h.lastSeq++
		h.sentAt[h.lastSeq] = t.Now
		h.forgetOldRequests(t.Now)
		q.deputySeq, q.deputyDeadline = h.lastSeq, t.Now.Add(deputyTimeout)
		h.nextTick = core.Earlier(h.nextTick, q.deputyDeadline)
		t.Send(to, core.QuotaRequest{
			Boot: h.boot, Seq: h.lastSeq, Fallback: true,
			Items: []core.QuotaRequestItem{{Account: id, Required: q.cost, Requested: q.cost}},
		})
	}
}

// handleFallbackGrant adds the tokens that a deputy granted. Requests that it refused enter the lottery.
func (h *holder) handleFallbackGrant(t *core.Turn, m core.QuotaGrant, sentAt time.Time) {
	for _, item := range m.Items {
		a := h.localAccount(t, item.Account)
		for i := range a.queue {
			if a.queue[i].deputySeq == m.Seq {
				a.queue[i].deputyDeadline = t.Now
			}
		}
		if item.Granted > 0 {
			// The tokens belong to no term, so the owner is not told how they are used.
			a.addGrant(grant{seq: m.Seq, amount: item.Granted, expires: sentAt.Add(core.HolderLeaseTime(LeaseDuration))})
		}
		h.serveQueue(t, a)
		if h.fallbackShare(t.Now) > 0 {
			h.admitByLottery(t, a)
		}
	}
	if h.nextTick.IsZero() && len(h.accounts) > 0 {
		h.nextTick = t.Now.Add(requestInterval)
	}
}
