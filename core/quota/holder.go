package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// requestInterval is how often a host sends its token requests and settlements to the owner.
	requestInterval = 150 * time.Millisecond
	// MaxWait is how long a request is queued for a grant before it is denied.
	MaxWait = 10 * time.Second
	// ExhaustedMaxWait is how long a request without a limit of its own is queued if its account's bucket is empty. With a longer
	// wait, an account over its rate would have all of its requests delayed instead of some of them denied.
	ExhaustedMaxWait = 300 * time.Millisecond
	// idleTimeout is how long unused tokens are kept. It is also the time constant of the demand average.
	idleTimeout = 500 * time.Millisecond
	// maxQueuedRequests limits the queued requests of one account on one host.
	maxQueuedRequests = 1024
)

// grant is an amount of tokens that the owner granted and that is not spent yet.
type grant struct {
	// seq is that of the request that was granted.
	seq     uint64
	amount  core.Tokens
	expires time.Time
	// epoch is the term of the owner that granted the tokens; only that owner is told how they were used.
	epoch core.Epoch
}

// queuedRequest is a request that is queued until its tokens are granted.
type queuedRequest struct {
	request  core.RequestID
	cost     core.Tokens
	deadline time.Time
	// exhausted is set once the owner has reported an empty bucket, lotteryEntered once the request's turn in the
	// fallback lottery has passed.
	exhausted bool
	// limited is true if the request named how long it can wait; refillWait is how long its tokens were expected to take when
	// the owner last granted too few.
	limited        bool
	refillWait     time.Duration
	lotteryEntered bool
	// deputySeq is the number of the request to the deputy, or zero; its response is awaited until deputyDeadline.
	deputySeq      uint64
	deputyDeadline time.Time
}

// awaitsDeputy reports whether the deputy may still respond.
func (q *queuedRequest) awaitsDeputy(now time.Time) bool {
	return q.deputySeq != 0 && now.Before(q.deputyDeadline)
}

// shortenDeadline limits the remaining wait to ExhaustedMaxWait, because no tokens are expected soon.
func (q *queuedRequest) shortenDeadline(now time.Time) {
	if deadline := now.Add(ExhaustedMaxWait); deadline.Before(q.deadline) {
		q.deadline = deadline
	}
}

// localAccount is the state of one account's tokens on one host.
type localAccount struct {
	// grants are ordered by their expiry.
	grants []grant
	queue  []queuedRequest
	// settlements and refund are reported to the owner with the next request.
	settlements []core.QuotaSettlement
	refund      core.Tokens
	// demand is a moving average of the tokens consumed per second.
	demand          float64
	consumed        core.Tokens
	lastUsed        time.Time
	demandUpdatedAt time.Time
	// nextRequest is the earliest time to request tokens from the owner again.
	nextRequest time.Time
	// overdraft is the number of tokens spent before they were granted; fallbackAppliedAt is when the fallback rate
	// was last applied to it.
	overdraft         core.Tokens
	fallbackAppliedAt time.Time
}

// holder requests tokens from the owner and spends them on the requests of one host.
type holder struct {
	boot     uint64
	leader   core.HostID
	epoch    core.Epoch
	config   *core.Config
	accounts map[core.AccountID]*localAccount
	lastSeq  uint64
	sentAt   map[uint64]time.Time
	// oldestSeq is the first request that may still be answered.
	oldestSeq uint64
	nextTick  time.Time
	policy    core.QuotaPolicy
	rand      *rand.Rand
	members   []core.Member
	// maxEntryHosts is the largest number of entry hosts seen at once; they share the overdraft and the fallback
	// rate.
	maxEntryHosts int
	// usingFallback is set while the host spends at the fallback rate, because the owner is unresponsive or in its
	// grace period.
	usingFallback bool
	// gracePeriodEnd is when a new owner starts to grant tokens.
	gracePeriodEnd time.Time
	// unansweredSince is when the first request since the owner's last response was sent, or zero if there is none.
	// Responses during a grace period don't count.
	unansweredSince time.Time
	// ownerTimeoutAt is when the owner counts as unresponsive, or zero if it does already or no request is unanswered.
	ownerTimeoutAt time.Time
}

// expectRefill applies the owner's report that the account's bucket is empty and that the first queued request can get its tokens
// after wait. A request waits on if its tokens are expected within its limit, and is denied otherwise.
func (a *localAccount) expectRefill(now time.Time, wait time.Duration, rate core.Tokens) {
	for i := range a.queue {
		q := &a.queue[i]
		if i > 0 {
			wait += refillTime(q.cost, rate)
		}
		q.exhausted, q.refillWait = true, wait
		switch {
		case !q.limited:
			q.shortenDeadline(now)
		case now.Add(wait).After(q.deadline):
			q.deadline = now
		}
	}
}

func (h *holder) acquire(t *core.Turn, e core.AcquireQuota) {
	account, ok := h.config.Account(e.Account)
	if !ok {
		h.deny(t, e.Request, core.Fail(core.KindBadKey, "the client account does not exist"))
		return
	}
	if e.Cost > account.Burst {
		h.deny(t, e.Request, core.Fail(core.KindRateLimited, "the request costs %d tokens, the burst is %d", e.Cost, account.Burst))
		return
	}
	maxWait := MaxWait
	if e.MaxWait > 0 {
		maxWait = min(MaxWait, e.MaxWait)
	}
	a := h.localAccount(t, e.Account)
	if len(a.queue) >= maxQueuedRequests {
		h.deny(t, e.Request, core.Fail(core.KindRateLimited, "too many queued requests for the client account"))
		return
	}
	a.queue = append(a.queue, queuedRequest{request: e.Request, cost: e.Cost, deadline: t.Now.Add(maxWait), limited: e.MaxWait > 0})
	a.lastUsed = t.Now
	h.serveQueue(t, a)
	h.applyFallbackRate(t, e.Account, a)
	if (len(a.queue) > 0 || a.overdraft > 0) && !t.Now.Before(a.nextRequest) {
		a.nextRequest = t.Now.Add(requestInterval)
		h.requestTokens(t, e.Account, a)
	}
	if h.nextTick.IsZero() {
		h.nextTick = t.Now.Add(requestInterval)
	}
}

// localAccount returns the state of an account's tokens on this host and creates it if it is missing.
func (h *holder) localAccount(t *core.Turn, id core.AccountID) *localAccount {
	a := h.accounts[id]
	if a == nil {
		a = &localAccount{lastUsed: t.Now}
		h.accounts[id] = a
	}
	return a
}

// requestTokens sends a request for one account immediately.
func (h *holder) requestTokens(t *core.Turn, id core.AccountID, a *localAccount) {
	if h.noLeader(t) {
		return
	}
	if item, ok := a.requestItem(t.Now, id, h.epoch); ok {
		h.send(t, core.QuotaRequest{Boot: h.boot, Epoch: h.epoch, Items: []core.QuotaRequestItem{item}})
	}
}

func (h *holder) deny(t *core.Turn, r core.RequestID, failure *core.Failure) {
	t.Post(core.QuotaDenied{Request: r, Failure: failure})
}

// serveQueue admits queued requests in order of arrival while there are tokens for them.
func (h *holder) serveQueue(t *core.Turn, a *localAccount) {
	a.expireGrants(t.Now, h.epoch)
	for len(a.queue) > 0 && (a.spend(a.queue[0].cost, h.epoch) || h.overdraw(a, a.queue[0].cost)) {
		t.Post(core.QuotaAcquired{Request: a.queue[0].request})
		a.queue = slices.Delete(a.queue, 0, 1)
	}
}

// expireGrants discards grants whose lease has expired; the owner is told that their tokens are unused.
func (a *localAccount) expireGrants(now time.Time, epoch core.Epoch) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool {
		if now.Before(g.expires) {
			return false
		}
		a.returnGrant(g, epoch)
		return true
	})
}

// returnGrant reports what is left of a grant as unused if the current owner granted it.
func (a *localAccount) returnGrant(g grant, epoch core.Epoch) {
	if g.epoch == epoch && g.amount > 0 {
		a.settlement(g.seq).Unused += g.amount
	}
}

// settlement returns the unreported settlement of the grant for request seq and creates it if it is missing.
func (a *localAccount) settlement(seq uint64) *core.QuotaSettlement {
	i := slices.IndexFunc(a.settlements, func(s core.QuotaSettlement) bool { return s.Grant == seq })
	if i < 0 {
		i = len(a.settlements)
		a.settlements = append(a.settlements, core.QuotaSettlement{Grant: seq})
	}
	return &a.settlements[i]
}

// addGrant adds a grant in the order of expiry.
func (a *localAccount) addGrant(g grant) {
	a.grants = append(a.grants, g)
	slices.SortStableFunc(a.grants, func(x, y grant) int { return x.expires.Compare(y.expires) })
}

func (a *localAccount) available() core.Tokens {
	var sum core.Tokens
	for _, g := range a.grants {
		sum += g.amount
	}
	return sum
}

// spend takes tokens from the grants that expire first and reports false if too few are available.
func (a *localAccount) spend(cost core.Tokens, epoch core.Epoch) bool {
	if a.available() < cost {
		return false
	}
	a.consumed += cost
	for i := range a.grants {
		amount := min(cost, a.grants[i].amount)
		a.grants[i].amount -= amount
		cost -= amount
		if a.grants[i].epoch == epoch && amount > 0 {
			a.settlement(a.grants[i].seq).Spent += amount
		}
	}
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.amount == 0 })
	return true
}

func (h *holder) tick(t *core.Turn) {
	timedOut := core.Due(h.ownerTimeoutAt, t.Now)
	if !timedOut && !core.Due(h.nextTick, t.Now) {
		return
	}
	if timedOut {
		h.ownerTimeoutAt = time.Time{}
	}
	h.nextTick = time.Time{}
	request := core.QuotaRequest{Boot: h.boot, Epoch: h.epoch}
	for _, id := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[id]
		h.applyFallbackRate(t, id, a)
		h.denyTimedOut(t, a)
		if item, ok := a.requestItem(t.Now, id, h.epoch); ok {
			request.Items = append(request.Items, item)
		}
		if a.idle(t.Now) {
			delete(h.accounts, id)
			continue
		}
		h.nextTick = t.Now.Add(requestInterval)
	}
	if len(request.Items) > 0 && !h.noLeader(t) {
		h.send(t, request)
	}
}

// noLeader reports whether the leader is unknown, which counts as an unanswered request.
func (h *holder) noLeader(t *core.Turn) bool {
	if h.leader == "" {
		h.markUnanswered(t)
	}
	return h.leader == ""
}

// markUnanswered starts the time after which the owner counts as unresponsive, unless it has started.
func (h *holder) markUnanswered(t *core.Turn) {
	if h.unansweredSince.IsZero() {
		h.unansweredSince, h.ownerTimeoutAt = t.Now, t.Now.Add(ownerTimeout)
	}
}

func (h *holder) send(t *core.Turn, request core.QuotaRequest) {
	h.lastSeq++
	request.Seq = h.lastSeq
	h.markUnanswered(t)
	h.sentAt[request.Seq] = t.Now
	h.forgetOldRequests(t.Now)
	t.Send(h.leader, request)
}

// forgetOldRequests removes the requests whose grants would have expired.
func (h *holder) forgetOldRequests(now time.Time) {
	for h.oldestSeq < h.lastSeq && now.Sub(h.sentAt[h.oldestSeq]) >= LeaseDuration {
		delete(h.sentAt, h.oldestSeq)
		h.oldestSeq++
	}
}

func (h *holder) denyTimedOut(t *core.Turn, a *localAccount) {
	a.queue = slices.DeleteFunc(a.queue, func(q queuedRequest) bool {
		if !core.Due(q.deadline, t.Now) {
			return false
		}
		failure, wait := core.Fail(core.KindNotReady, "the quota owner did not grant tokens in time"), LeaseDuration
		if q.exhausted {
			failure, wait = core.Fail(core.KindRateLimited, "the client account exceeded its rate limit"), q.refillWait
		}
		failure.RetryAfter = h.spreadRetry(wait)
		h.deny(t, q.request, failure)
		return true
	})
}

// minRetryAfter is the shortest wait before a denied caller should try again.
const minRetryAfter = 200 * time.Millisecond

// spreadRetry returns a random wait between the given one and twice as long. The callers that one shortage turns away would
// otherwise return together and cause the next one.
func (h *holder) spreadRetry(wait time.Duration) time.Duration {
	wait = max(minRetryAfter, wait)
	return wait + time.Duration(h.rand.Float64()*float64(wait))
}

// requestItem returns the account's item of a request and resets the amounts that it settles. It reports false if the
// item is empty.
func (a *localAccount) requestItem(now time.Time, id core.AccountID, epoch core.Epoch) (core.QuotaRequestItem, bool) {
	a.expireGrants(now, epoch)
	a.updateDemand(now)
	if now.Sub(a.lastUsed) >= idleTimeout && len(a.queue) == 0 {
		a.returnGrants(epoch)
	}
	item := core.QuotaRequestItem{Account: id, Settlements: a.settlements, Refund: a.refund}
	available := a.available()
	overdraft := max(0, a.overdraft)
	item.Required = overdraft
	if len(a.queue) > 0 {
		item.Required += max(0, a.queue[0].cost-available)
	}
	target := overdraft + core.Tokens(a.demand*idleTimeout.Seconds())
	for _, queued := range a.queue {
		target += queued.cost
	}
	item.Requested = max(item.Required, target-available)
	a.settlements, a.refund = nil, 0
	return item, item.Requested > 0 || len(item.Settlements) > 0 || item.Refund > 0
}

func (a *localAccount) updateDemand(now time.Time) {
	seconds := now.Sub(a.demandUpdatedAt).Seconds()
	if seconds <= 0 {
		return
	}
	decay := math.Exp(-seconds / idleTimeout.Seconds())
	a.demand = a.demand*decay + float64(a.consumed)/seconds*(1-decay)
	a.consumed, a.demandUpdatedAt = 0, now
}

// returnGrants drops all grants and reports those of the current owner as unused.
func (a *localAccount) returnGrants(epoch core.Epoch) {
	for _, g := range a.grants {
		a.returnGrant(g, epoch)
	}
	a.grants, a.demand = nil, 0
}

func (a *localAccount) idle(now time.Time) bool {
	return len(a.queue) == 0 && len(a.grants) == 0 && a.overdraft <= 0 && now.Sub(a.lastUsed) >= idleTimeout
}

func (h *holder) handleGrant(t *core.Turn, m core.QuotaGrant) {
	sentAt, ok := h.sentAt[m.Seq]
	if !ok || (m.Boot != 0 && m.Boot != h.boot) {
		return
	}
	delete(h.sentAt, m.Seq)
	if m.Fallback {
		h.handleFallbackGrant(t, m, sentAt)
		return
	}
	if !m.InGracePeriod {
		h.unansweredSince, h.ownerTimeoutAt = time.Time{}, time.Time{}
	}
	if m.Epoch != h.epoch {
		h.startTerm(m.Epoch)
	}
	for _, item := range m.Items {
		if m.InGracePeriod {
			h.gracePeriodEnd = sentAt.Add(min(item.RetryAfter, LeaseDuration))
		}
		h.addGrant(t, h.localAccount(t, item.Account), m.Seq, sentAt, item)
	}
	if h.nextTick.IsZero() && len(h.accounts) > 0 {
		h.nextTick = t.Now.Add(requestInterval)
	}
}

// startTerm discards the settlements for the previous owner; grants remain valid until their lease expires.
func (h *holder) startTerm(epoch core.Epoch) {
	h.epoch = epoch
	for _, a := range h.accounts {
		a.settlements, a.refund = nil, 0
	}
}

func (h *holder) addGrant(t *core.Turn, a *localAccount, seq uint64, sentAt time.Time, item core.QuotaGrantItem) {
	if item.Granted = a.repayOverdraft(seq, item.Granted); item.Granted > 0 {
		a.addGrant(grant{
			seq: seq, amount: item.Granted, expires: sentAt.Add(core.HolderLeaseTime(LeaseDuration)), epoch: h.epoch,
		})
	}
	h.serveQueue(t, a)
	if len(a.queue) == 0 && a.overdraft <= 0 {
		return
	}
	if account, ok := h.config.Account(item.Account); ok && item.Exhausted {
		a.expectRefill(t.Now, item.RetryAfter, account.Rate)
	}
	a.nextRequest = t.Now.Add(min(item.RetryAfter, requestInterval))
	if item.RetryAfter < requestInterval {
		h.nextTick = core.Earlier(h.nextTick, t.Now.Add(max(item.RetryAfter, time.Millisecond)))
	}
}

// returnAll returns all available tokens to the owner at once, because the host is shutting down.
func (h *holder) returnAll(t *core.Turn) {
	request := core.QuotaRequest{Boot: h.boot, Epoch: h.epoch}
	for _, id := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[id]
		a.returnGrants(h.epoch)
		if item, ok := a.requestItem(t.Now, id, h.epoch); ok {
			request.Items = append(request.Items, item)
		}
	}
	if len(request.Items) > 0 && h.leader != "" {
		h.send(t, request)
	}
}

// refund credits the tokens that a response did not use.
func (h *holder) refund(t *core.Turn, e core.RefundQuota) {
	h.localAccount(t, e.Account).refund += e.Amount
	if h.nextTick.IsZero() {
		h.nextTick = t.Now.Add(requestInterval)
	}
}

// cancel removes a request from its account's queue.
func (h *holder) cancel(e core.CancelQuota) {
	if a := h.accounts[e.Account]; a != nil {
		a.queue = slices.DeleteFunc(a.queue, func(q queuedRequest) bool { return q.request == e.Request })
	}
}
