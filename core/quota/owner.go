package quota

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// LeaseDuration is how long granted tokens may be spent, counted from when the host sent its request.
const LeaseDuration = time.Second

// queueTimeout is how long a host keeps its position in an account's queue without another request.
const queueTimeout = time.Second

// outstandingGrant is an amount that was granted to a host and not yet settled. seq is that of the host's request.
type outstandingGrant struct {
	host    core.HostID
	seq     uint64
	amount  core.Tokens
	expires time.Time
}

// queueEntry is a host's position in the queue for an account's tokens.
type queueEntry struct {
	host     core.HostID
	required core.Tokens
	expires  time.Time
}

// bucket is one account's token bucket; level is in tokens and may be fractional.
type bucket struct {
	level       float64
	refilledAt  time.Time
	outstanding []outstandingGrant
	queue       []queueEntry
	// warmUpEnd is when an empty bucket starts to mean that the account is over its rate. Before, the bucket may be
	// empty only because the owner is new.
	warmUpEnd time.Time
}

// warmUpRefills is how many times the bucket's refill time a new owner waits before it reports an empty bucket as
// exhausted. By then, an account that uses three quarters of its rate has refilled its bucket.
const warmUpRefills = 4

// pendingRequest is a QuotaRequest that waits for the leadership verification.
type pendingRequest struct {
	from    core.HostID
	request core.QuotaRequest
}

// requestSeq identifies the latest request that was accepted from a host.
type requestSeq struct {
	boot uint64
	seq  uint64
}

// requestLog has the latest request that was accepted from each host.
type requestLog map[core.HostID]requestSeq

// accept records a request and reports true if it is newer than the latest one of the host, so that a request counts once.
func (l requestLog) accept(from core.HostID, m *core.QuotaRequest) bool {
	if last, ok := l[from]; ok && (m.Boot < last.boot || (m.Boot == last.boot && m.Seq <= last.seq)) {
		return false
	}
	l[from] = requestSeq{boot: m.Boot, seq: m.Seq}
	return true
}

// owner grants tokens from the buckets while this host is the leader.
//
// Counting spent tokens in the replicated log was rejected, because a commit per request costs more than routing the
// request. A fixed share of the rate for each host was rejected, because under uneven traffic it denies requests
// within the rate.
type owner struct {
	// skipGracePeriod injects a fault for tests: a new owner grants tokens at once, as if no grants were
	// outstanding.
	skipGracePeriod bool
	initialTokens   core.Tokens
	leading         bool
	epoch           core.Epoch
	// gracePeriodEnd is when the last grant of an earlier owner has expired.
	gracePeriodEnd time.Time
	config         *core.Config
	buckets        map[core.AccountID]*bucket
	lastRequests   requestLog
	verifyQueue    core.VerifyQueue[pendingRequest]
}

func (o *owner) leaderChanged(t *core.Turn, e core.LeaderChanged) {
	if o.leading && e.Self && o.epoch == e.Epoch {
		return
	}
	o.leading, o.epoch = e.Self, e.Epoch
	o.buckets = map[core.AccountID]*bucket{}
	o.lastRequests = requestLog{}
	o.verifyQueue.Reset()
	o.gracePeriodEnd = t.Now.Add(LeaseDuration)
	if o.skipGracePeriod {
		o.gracePeriodEnd = t.Now
	}
}

func (o *owner) handleRequest(t *core.Turn, from core.HostID, m core.QuotaRequest) {
	if !o.leading {
		return
	}
	if !o.lastRequests.accept(from, &m) {
		return
	}
	o.verifyQueue.Add(t, pendingRequest{from: from, request: m})
}

func (o *owner) leaderVerified(t *core.Turn, e core.LeaderVerified) {
	for _, r := range o.verifyQueue.Verified(t, e) {
		o.respond(t, r)
	}
}

func (o *owner) respond(t *core.Turn, r pendingRequest) {
	g := core.QuotaGrant{Seq: r.request.Seq, Boot: r.request.Boot, Epoch: o.epoch, InGracePeriod: t.Now.Before(o.gracePeriodEnd)}
	for _, item := range r.request.Items {
		account, ok := o.config.Account(item.Account)
		if !ok {
			continue
		}
		b := o.refilledBucket(t.Now, account)
		if r.request.Epoch == o.epoch {
			b.settle(r.from, item)
			b.level = min(b.level, float64(account.Burst-b.outstandingTokens()))
		}
		granted, retryAfter := o.grant(t.Now, b, account, r, item)
		g.Items = append(g.Items, core.QuotaGrantItem{
			Account: item.Account, Granted: granted, RetryAfter: retryAfter, Exhausted: !t.Now.Before(b.warmUpEnd),
		})
	}
	t.Send(r.from, g)
}

// configCommitted fills the bucket of an account that was created in this term, since no earlier owner can have granted
// its tokens. A new leader also gets the commits of earlier terms, and its own active configuration may lack accounts
// that have been in use for long, so neither says that an account is new.
func (o *owner) configCommitted(t *core.Turn, e core.ConfigCommitted) {
	a := e.Change.Account
	if e.Change.Kind != core.ChangePutAccount || !o.leading || e.Epoch != o.epoch {
		return
	}
	if _, ok := e.Previous.Account(a.ID); ok || o.buckets[a.ID] != nil {
		return
	}
	o.buckets[a.ID] = &bucket{level: float64(a.Burst), refilledAt: t.Now, warmUpEnd: o.gracePeriodEnd}
}

// refilledBucket returns an account's bucket, refilled up to now. A new bucket holds only the initial tokens, since
// an earlier owner's grants may just have been spent.
func (o *owner) refilledBucket(now time.Time, a core.Account) *bucket {
	b := o.buckets[a.ID]
	if b == nil {
		b = &bucket{
			level: float64(o.initialTokens), refilledAt: o.gracePeriodEnd,
			warmUpEnd: o.gracePeriodEnd.Add(warmUpRefills * refillTime(a.Burst, a.Rate)),
		}
		if o.skipGracePeriod {
			b.level = float64(a.Burst)
		}
		o.buckets[a.ID] = b
	}
	b.outstanding = slices.DeleteFunc(b.outstanding, func(g outstandingGrant) bool { return !now.Before(g.expires) })
	b.queue = slices.DeleteFunc(b.queue, func(q queueEntry) bool { return !now.Before(q.expires) })
	if now.After(b.refilledAt) {
		b.level += now.Sub(b.refilledAt).Seconds() * float64(a.Rate)
		b.refilledAt = now
	}
	b.level = min(b.level, float64(a.Burst-b.outstandingTokens()))
	return b
}

func (b *bucket) outstandingTokens() core.Tokens {
	var sum core.Tokens
	for _, g := range b.outstanding {
		sum += g.amount
	}
	return sum
}

// settle deducts the tokens that the host spent or returned from the grants that they belong to. Tokens returned from an
// expired grant don't count, because the rate may have refilled them already.
func (b *bucket) settle(from core.HostID, item core.QuotaRequestItem) {
	for _, s := range item.Settlements {
		b.reduceOutstanding(from, s.Grant, s.Spent)
		b.level += float64(b.reduceOutstanding(from, s.Grant, s.Unused))
	}
	b.level += float64(item.Refund)
}

// reduceOutstanding deducts an amount from the grant for a host's request, and returns how much the grant still had.
func (b *bucket) reduceOutstanding(from core.HostID, seq uint64, amount core.Tokens) core.Tokens {
	i := slices.IndexFunc(b.outstanding, func(g outstandingGrant) bool { return g.host == from && g.seq == seq })
	if i < 0 {
		return 0
	}
	reduced := min(amount, b.outstanding[i].amount)
	b.outstanding[i].amount -= reduced
	if b.outstanding[i].amount == 0 {
		b.outstanding = slices.Delete(b.outstanding, i, i+1)
	}
	return reduced
}

// grant gives the first host in the queue the tokens that it requires. Tokens that are requested beyond that come
// only from the upper half of the bucket, so that prefetching takes nothing from another host's queued request.
func (o *owner) grant(now time.Time, b *bucket, a core.Account, r pendingRequest, item core.QuotaRequestItem) (core.Tokens, time.Duration) {
	from := r.from
	b.enqueue(now, from, item.Required)
	if wait := o.gracePeriodEnd.Sub(now); wait > 0 {
		return 0, wait
	}
	reserved := core.Tokens(0)
	for _, q := range b.queue {
		if q.host == from {
			break
		}
		reserved += q.required
	}
	free := core.Tokens(b.level) - reserved
	if item.Required > free {
		return 0, refillTime(item.Required-free, a.Rate)
	}
	b.queue = slices.DeleteFunc(b.queue, func(q queueEntry) bool { return q.host == from })
	extra := max(0, min(item.Requested-item.Required, free-item.Required-a.Burst/2))
	granted := item.Required + extra
	if granted > 0 {
		b.level -= float64(granted)
		b.outstanding = append(b.outstanding, outstandingGrant{host: from, seq: r.request.Seq, amount: granted, expires: now.Add(LeaseDuration)})
	}
	return granted, 0
}

func (b *bucket) enqueue(now time.Time, from core.HostID, required core.Tokens) {
	i := slices.IndexFunc(b.queue, func(q queueEntry) bool { return q.host == from })
	if required == 0 {
		if i >= 0 {
			b.queue = slices.Delete(b.queue, i, i+1)
		}
		return
	}
	entry := queueEntry{host: from, required: required, expires: now.Add(queueTimeout)}
	if i >= 0 {
		b.queue[i] = entry
		return
	}
	b.queue = append(b.queue, entry)
}

// refillTime returns how long the rate takes to add n tokens, or LeaseDuration for a rate of zero.
func refillTime(n, rate core.Tokens) time.Duration {
	if rate <= 0 {
		return LeaseDuration
	}
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}
