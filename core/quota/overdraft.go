package quota

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// ownerTimeout is how long a request to the owner may stay unanswered before this host uses its fallback rate. It is
// longer than a response takes under load. A request that waits for it must still reach its latency target: with many
// hosts, most hosts have only one request of an account while the owner is away.
const ownerTimeout = 250 * time.Millisecond

// membersChanged updates the largest number of entry hosts seen at once. The number never falls, so an isolated
// host doesn't claim the other hosts' shares of the overdraft and the fallback rate.
func (h *holder) membersChanged(members []core.Member) {
	h.members = members
	h.maxEntryHosts = max(h.maxEntryHosts, core.CountEntryHosts(members))
}

// overdraw spends tokens that are not granted yet, so that a small request doesn't wait for the owner. It reports
// false if the overdraft would exceed this host's limit.
func (h *holder) overdraw(a *localAccount, cost core.Tokens) bool {
	available := a.available()
	if a.overdraft+cost-available > h.maxOverdraft() {
		return false
	}
	a.spendWithOverdraft(cost, h.epoch)
	a.consumed += cost - available
	return true
}

// maxOverdraft returns this host's share of the overdraft, in tokens.
func (h *holder) maxOverdraft() core.Tokens { return h.policy.Overdraft / core.Tokens(h.maxEntryHosts) }

// spendWithOverdraft spends the available tokens and adds the rest of the cost to the overdraft.
func (a *localAccount) spendWithOverdraft(cost core.Tokens, epoch core.Epoch) {
	available := a.available()
	a.overdraft += cost - available
	if available > 0 {
		a.spend(available, epoch)
	}
}

// repayOverdraft repays the overdraft from the tokens granted for request seq and returns the tokens that are left.
func (a *localAccount) repayOverdraft(seq uint64, granted core.Tokens) core.Tokens {
	a.overdraft = max(0, a.overdraft)
	repaid := min(a.overdraft, granted)
	if repaid > 0 {
		a.overdraft -= repaid
		a.settlement(seq).Spent += repaid
	}
	return granted - repaid
}

// fallbackShare returns the fraction of each rate that all hosts together may spend without grants. During a grace
// period the owner grants nothing to any host, so the hosts share the whole rate. An owner that is only unreachable
// from this host may still grant tokens to others, so the fraction is FallbackRateShare.
func (h *holder) fallbackShare(now time.Time) float64 {
	switch {
	case h.policy.FallbackRateShare > 0 && now.Before(h.gracePeriodEnd):
		return 1
	case !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= ownerTimeout:
		return h.policy.FallbackRateShare
	}
	return 0
}

// applyFallbackRate reduces the overdraft at this host's share of the rate while the owner is unresponsive or in its
// grace period, so that a host isolated from the owner keeps serving requests. These tokens are not reported to
// the owner; their sum over all hosts is bounded by fallbackShare.
func (h *holder) applyFallbackRate(t *core.Turn, id core.AccountID, a *localAccount) {
	share := h.fallbackShare(t.Now)
	h.logFallback(t, share > 0)
	last := a.fallbackAppliedAt
	a.fallbackAppliedAt = t.Now
	account, ok := h.config.Account(id)
	if share == 0 || !ok || last.IsZero() {
		return
	}
	rate := share * float64(account.Rate) / float64(h.maxEntryHosts)
	a.overdraft -= core.Tokens(rate * t.Now.Sub(last).Seconds())
	// A negative overdraft accumulates tokens for requests larger than the overdraft limit, at most those of one
	// second.
	a.overdraft = max(a.overdraft, -core.Tokens(rate))
	h.serveQueue(t, a)
	h.askDeputy(t, id, a)
	h.admitByLottery(t, a)
	for i := range a.queue {
		a.queue[i].shortenDeadline(t.Now)
	}
}

// admitByLottery admits some of the requests that cost more than this host's overdraft limit: with many hosts, each
// host's share of the rate is smaller than one large request. A request stakes all tokens that the host may spend and
// wins its full cost with probability stake/cost. The expected spending over all hosts is thus the fallback rate; the
// deviation grows with the square root of the number of winners. Each request enters at most once, after its deputy has
// refused it or not responded.
func (h *holder) admitByLottery(t *core.Turn, a *localAccount) {
	a.queue = slices.DeleteFunc(a.queue, func(q queuedRequest) bool {
		return !q.lotteryEntered && !q.awaitsDeputy(t.Now) && h.enterLottery(t, a, &q)
	})
	for i := range a.queue {
		q := &a.queue[i]
		q.lotteryEntered = q.lotteryEntered || (q.cost > h.maxOverdraft() && !q.awaitsDeputy(t.Now))
	}
}

// enterLottery stakes all tokens that the host may spend on one request and reports whether the request won.
func (h *holder) enterLottery(t *core.Turn, a *localAccount, q *queuedRequest) bool {
	stake := h.maxOverdraft() - a.overdraft + a.available()
	if q.cost <= h.maxOverdraft() || stake <= 0 {
		return false
	}
	a.spendWithOverdraft(stake, h.epoch)
	if h.rand.Float64() >= float64(stake)/float64(q.cost) {
		return false
	}
	a.consumed += q.cost
	t.Post(core.QuotaAcquired{Request: q.request})
	return true
}

// logFallback logs when the host starts and stops spending at its fallback rate.
func (h *holder) logFallback(t *core.Turn, active bool) {
	if active == h.usingFallback {
		return
	}
	h.usingFallback = active
	d := core.Decision{Component: "quota", Choice: "lenderHeard", Reason: "the quota owner grants tokens again", Target: string(h.leader)}
	if active {
		d.Choice, d.Reason, d.Age = "lenderSilent", "no grants from the quota owner; using the fallback rate", t.Now.Sub(h.unansweredSince)
	}
	t.LogDecision(d)
}
