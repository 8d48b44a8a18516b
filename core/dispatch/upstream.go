package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// defaultHeartbeatTimeout is how long an upstream may miss heartbeats before it gets no new work.
	defaultHeartbeatTimeout = 2 * time.Second
	// staleTimeout is how long an upstream that misses heartbeats is kept in its pool.
	staleTimeout = 30 * time.Second
	// maxStaleAge is how long an upstream is kept if no heartbeats of the pool's upstreams are relayed any more.
	maxStaleAge = 10 * time.Minute
	// orphanGracePeriod is how long an attempt may appear in reports without a reservation before it is cancelled.
	orphanGracePeriod = 3 * time.Second
	// After breakerThreshold consecutive failures, an upstream gets no new work for minBreakerBackoff, which doubles with
	// each further failure up to maxBreakerBackoff.
	breakerThreshold  = 3
	minBreakerBackoff = 500 * time.Millisecond
	maxBreakerBackoff = 8 * time.Second
	// The cached prefix hashes of one engine are limited to between minHashesPerEngine and maxHashesPerEngine, so that
	// a pool has at most about maxHashesPerPool.
	maxHashesPerEngine = 8192
	minHashesPerEngine = 128
	maxHashesPerPool   = 1 << 20
	// maxInitialSeq bounds the random placementSeq of upstreams without a placement; sequence numbers of placements are
	// above it. It is random so that hosts that place attempts independently do not all select the same upstream first.
	maxInitialSeq = 1 << 20
)

// upstream is an engine or service instance of a pool.
type upstream struct {
	core.Announcement
	// firstSeen is when the incarnation was first announced, lastSeen when it was last.
	firstSeen time.Time
	lastSeen  time.Time
	// reservedSlots and reservedMemory are held by reservations. prefillTokens are the tokens that its queued and
	// running prefills have to compute.
	reservedSlots  int
	reservedMemory core.Tokens
	prefillTokens  core.Tokens
	// pendingDecodes is the number of reserved decodes whose prefill has not ended.
	pendingDecodes int
	// load is how full the upstream is: 0 is empty and 1 full; claims may exceed it.
	load float64
	// placementSeq orders equally loaded upstreams by their last placement; if it is zero, their IDs decide.
	placementSeq uint64
	// busyUntil is when the running prefills are expected to end.
	busyUntil time.Time
	// bareUntil is when a decode engine is expected to end the prompts that it was given without a prefill.
	bareUntil time.Time
	// lastPrefillEnd is when the last prefill ended.
	lastPrefillEnd time.Time
	// unreservedSince holds the attempts of the last report that have no reservation, with the time each was first
	// reported.
	unreservedSince map[core.AttemptID]time.Time
	// cachedHashes maps each prefix hash that the engine is estimated to have cached to the cacheClock of its last use.
	cachedHashes map[uint64]uint64
	cacheClock   uint64
	reportSeq    uint64
	// misdirected is true if an attempt found another upstream, or one of another role, at the address; a newer
	// announcement clears it, a repeated one does not before misdirectedRetry.
	misdirected         bool
	misdirectedAt       time.Time
	consecutiveFailures int
	breakerOpenUntil    time.Time
	backoff             time.Duration
	limit               rateLimit
	cold                coldStart
	refusals            refusals
	// evacuated is true if nothing may be sent to the upstream because its data centre is evacuated.
	evacuated bool
	// lastEnded is when the call was placed that was placed last of those that have ended.
	lastEnded time.Time
	// isStrict is true until strictUntil for an upstream that rejected a call of its dispatcher.
	isStrict    bool
	strictUntil time.Time
	// malformedLoggedAt is when a malformed statement of the upstream was last logged.
	malformedLoggedAt time.Time
	// region is that of the upstream's data centre, or empty.
	region core.Region
	// decodeIndex and prefillIndex are the positions in the pool's candidate heaps, regionDecodeIndex and regionPrefillIndex
	// those in the heaps of the region, or -1.
	decodeIndex        int
	prefillIndex       int
	regionDecodeIndex  int
	regionPrefillIndex int
	// freeMemory and roomIndex are its memory that is not reserved and its position in the pool's heap by that.
	freeMemory core.Tokens
	roomIndex  int
	// counted is the upstream's share of the pool's capacity.
	counted capacity
}

// isUsable reports whether an upstream may get new work; the time without heartbeats is measured up to reference.
func (u *upstream) isUsable(reference, now time.Time, heartbeatTimeout time.Duration, policy core.UpstreamPolicy) bool {
	return !u.Leaving && !u.evacuated && !u.misdirected && reference.Sub(u.lastSeen) < heartbeatTimeout &&
		!now.Before(u.breakerOpenUntil) && u.refusals.allow(now) && !slices.Contains(policy.Drained, u.ID)
}

// recordFailure counts a failure and opens the circuit breaker after breakerThreshold consecutive ones.
func (u *upstream) recordFailure(now time.Time) {
	u.consecutiveFailures++
	if u.consecutiveFailures < breakerThreshold {
		return
	}
	u.backoff = min(max(2*u.backoff, minBreakerBackoff), maxBreakerBackoff)
	u.breakerOpenUntil = now.Add(u.backoff)
}

// recordSuccess resets the failure count and the backoff of the circuit breaker.
func (u *upstream) recordSuccess() {
	u.consecutiveFailures = 0
	u.backoff = 0
	u.refusals.recordSuccess()
}

// cachedTokens returns how many leading tokens of a prompt the engine's cache is estimated to hold.
func (u *upstream) cachedTokens(hashes []uint64) core.Tokens {
	n := 0
	for n < len(hashes) && u.cachedHashes[hashes[n]] != 0 {
		n++
	}
	return core.Tokens(n) * core.PrefixBlockTokens
}

// applyReport applies the cache events of a report; after a gap in the sequence, all older prefix hashes are discarded.
// Repeated or older reports and those of another incarnation are ignored.
func (u *upstream) applyReport(r *core.LoadReport, limit int) {
	if r.Incarnation != u.Incarnation || r.Seq <= u.reportSeq {
		return
	}
	if r.Seq != u.reportSeq+1 {
		clear(u.cachedHashes)
	}
	u.reportSeq = r.Seq
	for _, hash := range r.EvictedBlocks {
		delete(u.cachedHashes, hash)
	}
	u.addCachedHashes(r.StoredBlocks, limit)
}

// addCachedHashes adds prefix hashes and, above the limit, keeps only the limit/2 most recently used.
func (u *upstream) addCachedHashes(hashes []uint64, limit int) {
	for _, hash := range hashes {
		u.cacheClock++
		u.cachedHashes[hash] = u.cacheClock
	}
	if len(u.cachedHashes) <= limit {
		return
	}
	for hash, at := range u.cachedHashes {
		if at+uint64(limit)/2 < u.cacheClock {
			delete(u.cachedHashes, hash)
		}
	}
}
