package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/admission"
	"oleanderlever/core/ordered"
)

// reservation is what the dispatcher reserves for an attempt.
type reservation struct {
	request   core.PlacementRequest
	entryHost core.HostID
	grant     core.PlacementGrant
	// memory is reserved on the decode engine. prefillTokens are the tokens that the prefill engine has to compute,
	// without cached ones where known; zero once the prefill has ended.
	memory        core.Tokens
	prefillTokens core.Tokens
	// reservedAt is when the reservation was made; unlistedCount is the number of consecutive lists of active attempts
	// from its entry host that lacked the attempt.
	reservedAt    time.Time
	unlistedCount int
	// latePrefill is true until the prefill of a late attempt has ended.
	latePrefill bool
	// refused is true if an upstream has refused the attempt, or it was not sent to one.
	refused bool
	// claimed is true if another dispatcher, or the entry host itself, placed the attempt, so that reservedAt is not when it
	// started.
	claimed bool
}

// pool is the state of one pool on a host that dispatches it: its upstreams, its queues and its reservations.
type pool struct {
	id        core.PoolID
	upstreams map[core.UpstreamID]*upstream
	// queue holds the queued attempts and decides on them. leastUrgent is the least urgent priority that the configuration has
	// for the pool; attempts without a priority have it.
	queue       *admission.Controller
	leastUrgent core.Priority
	capacity    capacity
	// largest is the memory of the largest engine that was known at the last sweep.
	largest core.Tokens
	// lastBareUntil is the latest bareUntil of its upstreams.
	lastBareUntil time.Time
	// latePrefills is the number of late attempts whose prefills have not ended. hasTargets is true if the last request had a
	// target.
	latePrefills int
	hasTargets   bool
	// notices has the queued calls whose entry hosts are still to be told, in the order of their times.
	notices      []queuedNotice
	latency      latencyEstimate
	roleLoad     roleLoad
	demand       demand
	reservations map[core.AttemptID]*reservation
	// decodeCandidates and prefillCandidates are the usable upstreams for each stage of an attempt. Decode candidates
	// are ordered by load, prefill candidates by queued tokens; services are decode candidates.
	decodeCandidates  candidates
	prefillCandidates candidates
	// roomiest has the decode candidates by their free memory.
	roomiest ordered.Heap[*upstream]
	// enginesByPrefix lists the engines that recently got a prompt, by the hash of the prompt's first block.
	enginesByPrefix map[uint64][]core.UpstreamID
	// lastRequest is when this host last got a request for the pool as its dispatcher, that is, for an engine and
	// without LocalLoad. awaitingClaimsFrom are the hosts whose claims are awaited until claimsDeadline.
	lastRequest        time.Time
	awaitingClaimsFrom map[core.HostID]bool
	claimsDeadline     time.Time
	// suspicions has the upstreams of a plain service at which calls of several hosts failed.
	suspicions map[core.UpstreamID]*suspicion
	// emptySince is since when the pool has had no upstream, leavingSince since when it has had none that is not leaving, and
	// stockedSince since when it has had one.
	emptySince   time.Time
	leavingSince time.Time
	stockedSince time.Time
	// versions counts the upstreams by software version. formerVersions has the versions of upstreams that were removed, with the
	// time of the last one.
	versions       map[core.SoftwareVersion]int
	formerVersions map[core.SoftwareVersion]time.Time
	// regions has the regions of the data centres.
	regions map[core.DataCentre]core.Region
	// engine is the configuration of the pool's engines, or nil; kvBlockTokens is the allocation unit of their memory.
	engine        *core.Engine
	kvBlockTokens core.Tokens
	config        *core.Config
	// heartbeatTimeout is how long an upstream may miss heartbeats. relayed is true if other hosts relay the
	// heartbeats. The time since an upstream's last heartbeat is then measured to lastSeen, the last heartbeat of any
	// upstream of the pool, instead of to now: if all heartbeats stop at once, the relay has failed and not the
	// upstreams.
	heartbeatTimeout time.Duration
	relayed          bool
	lastSeen         time.Time
	// placements counts placements, so that of equally loaded upstreams the least recently used one is next. It is used
	// only with local placement.
	placements uint64
	// limited is true while an upstream has a rate limit or is cold, namedLimits while one has a rate limit. limitShare is the
	// share of the limits that this host may use. nextReturn is the latest time at which a refused caller was asked to return.
	limited     bool
	namedLimits bool
	limitShare  float64
	nextReturn  time.Time
	// cold is the rate of cold upstreams, coldUpstreams their number at the last sweep.
	cold          coldRates
	coldUpstreams int
	// newlyCold has the upstreams of which the next sweep tells other hosts that they have become cold.
	newlyCold []core.UpstreamID
	// pressured is true while the pool is under pressure, as the entry plug-in was told. central is true while the pool's
	// dispatcher places the calls of all hosts to a plain service, for either reason, and centralSince is when that began.
	pressure     pressure
	pressured    bool
	central      bool
	centralSince time.Time
	// meanMemory is a moving average of the engine memory that attempts need.
	meanMemory float64
}

// configure applies the configuration of the pool.
func (p *pool) configure(config *core.Config) {
	p.engine, p.kvBlockTokens, p.config = nil, core.PageTokens, config
	for _, u := range p.upstreams {
		u.evacuated = config.IsEvacuated(u.DataCentre)
	}
	p.leastUrgent = config.LeastUrgent(p.id)
	c, ok := config.Pool(p.id)
	if !ok || c.Engine == nil {
		return
	}
	p.engine = c.Engine
	if c.Engine.KVBlockTokens > 0 {
		p.kvBlockTokens = c.Engine.KVBlockTokens
	}
}

// memoryNeeded returns the engine memory that an attempt takes, rounded up to whole KV blocks.
func (p *pool) memoryNeeded(request *core.PlacementRequest) core.Tokens {
	if request.PlainService {
		return 0
	}
	return (request.PromptTokens + request.OutputTokens + p.kvBlockTokens - 1) / p.kvBlockTokens * p.kvBlockTokens
}

// memoryCapacity returns the total memory of an engine.
func (p *pool) memoryCapacity(u *upstream) core.Tokens {
	if p.engine != nil && u.MemoryFromConfig {
		return p.engine.KVCacheTokens
	}
	return core.Tokens(u.MemoryPages) * core.PageTokens
}

func newPool(id core.PoolID, now time.Time) *pool {
	return &pool{
		id: id, upstreams: map[core.UpstreamID]*upstream{}, queue: admission.NewController(),
		reservations: map[core.AttemptID]*reservation{}, emptySince: now, leavingSince: now,
		decodeCandidates: newCandidates(
			lessLoaded, func(u *upstream) *int { return &u.decodeIndex }, func(u *upstream) *int { return &u.regionDecodeIndex },
		),
		prefillCandidates: newCandidates(
			shorterPrefill, func(u *upstream) *int { return &u.prefillIndex }, func(u *upstream) *int { return &u.regionPrefillIndex },
		),
		roomiest:        ordered.Heap[*upstream]{Index: func(u *upstream) *int { return &u.roomIndex }, Less: moreFreeMemory},
		enginesByPrefix: map[uint64][]core.UpstreamID{}, suspicions: map[core.UpstreamID]*suspicion{},
		versions: map[core.SoftwareVersion]int{}, formerVersions: map[core.SoftwareVersion]time.Time{},
	}
}

func lessLoaded(a, b *upstream) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	if a.placementSeq != b.placementSeq {
		return a.placementSeq < b.placementSeq
	}
	return a.ID < b.ID
}

func shorterPrefill(a, b *upstream) bool {
	if a.prefillTokens != b.prefillTokens {
		return a.prefillTokens < b.prefillTokens
	}
	return a.ID < b.ID
}

// refresh updates the load of an upstream and adds it to the candidates or removes it from them.
func (p *pool) refresh(u *upstream, now time.Time, policy core.UpstreamPolicy) {
	p.updateLoad(u)
	u.refusals.endTrial(now)
	u.isStrict = u.isStrict && now.Before(u.strictUntil)
	usable := u.isUsable(p.heartbeatReference(now), now, p.heartbeatTimeout, policy) && !p.assignmentPending(u)
	if usable && (u.Role.CanDecode() || u.Role == core.RoleService) {
		p.decodeCandidates.Fix(u)
	} else {
		p.decodeCandidates.Remove(u)
	}
	if usable && u.Role.CanPrefill() {
		p.prefillCandidates.Fix(u)
	} else {
		p.prefillCandidates.Remove(u)
	}
	p.recount(u)
}

// assignmentPending reports whether an engine has not yet announced the pool, role and model that are assigned to it;
// the engine refuses work until then. It is false for engines whose memory is not configured.
func (p *pool) assignmentPending(u *upstream) bool {
	if !u.MemoryFromConfig {
		return false
	}
	want, ok := p.config.Assignment(u.ID)
	return ok && !want.SatisfiedBy(&u.Announcement)
}

// heartbeatReference returns the time up to which an upstream's time without heartbeats is measured.
func (p *pool) heartbeatReference(now time.Time) time.Time {
	if p.relayed {
		return p.lastSeen
	}
	return now
}

// updateLoad computes the load of an upstream from its slots, and from its memory if the configuration has the size.
func (p *pool) updateLoad(u *upstream) {
	u.load = float64(u.reservedSlots) / float64(u.Slots)
	if p.engine != nil && u.MemoryFromConfig && p.engine.KVCacheTokens > 0 {
		u.load = max(u.load, float64(u.reservedMemory)/float64(p.engine.KVCacheTokens))
	}
}

// refreshAll removes upstreams that miss heartbeats from the candidates and adds those that have recovered.
func (p *pool) refreshAll(now time.Time, policy core.UpstreamPolicy) {
	for _, u := range p.upstreams {
		p.refresh(u, now, policy)
	}
	p.largest = p.largestMemory()
}

// reorder restores the order of the candidates after the load of an upstream has changed.
func (p *pool) reorder(u *upstream) {
	p.updateLoad(u)
	if u.decodeIndex >= 0 {
		p.decodeCandidates.Fix(u)
	}
	if u.prefillIndex >= 0 {
		p.prefillCandidates.Fix(u)
	}
	p.recount(u)
}

// place selects upstreams for an attempt and reserves them. The selection returned is that of the prefill engine if
// there is one.
func (p *pool) place(item *admission.Item, now time.Time, epoch core.Epoch) (*reservation, selection, admission.Result) {
	memory := p.memoryNeeded(&item.Request)
	if p.decodeCandidates.LenIn(item.Request.Regions) == 0 {
		p.wakeOne(&item.Request, now)
	}
	needsPrompt := !item.Request.PlainService && !item.Request.Prefilled
	bare := needsPrompt && p.engine != nil && (item.Request.WithoutPrefill || !p.canPrefill(&item.Request, now))
	decode, result := p.chooseDecode(item, memory, bare, now)
	if result != admission.Placed {
		return nil, decode, result
	}
	r := &reservation{
		request: item.Request, entryHost: item.EntryHost, memory: memory,
		grant: core.PlacementGrant{Attempt: item.Request.Attempt, Pool: p.id, Epoch: epoch},
	}
	r.grant.Decode, r.grant.DecodeAddr = decode.best.ID, decode.best.Addr
	r.grant.DecodeDataCentre, r.grant.DecodeIncarnation = decode.best.DataCentre, decode.best.Incarnation
	r.grant.DecodeVersion = decode.best.SoftwareVersion
	r.grant.SingleRequest = decode.best.limit.rate > 0 || decode.best.refusals.isShedding() || p.isCold(decode.best, now)
	r.grant.Pressure = item.Request.PlainService && p.isPressured(now) && p.isBusy(now)
	prefill := selection{}
	if needsPrompt && !(p.engine != nil && item.Request.WithoutPrefill) {
		prefill = p.choosePrefill(item, decode.best, now)
	}
	// What an engine that refuses most requests is sent should not be prefilled in vain.
	bare = p.engine != nil && (prefill.best == nil || decode.best.refusals.isShedding())
	if !needsPrompt || bare {
		r.grant.DecodeCold = p.countRequest(decode.best, &item.Request, now)
		r.setWaited(item, now)
		p.reserve(r, now)
		if needsPrompt {
			// Without a prefill engine, decode engines with configured memory can prefill prompts too, but slower.
			decode.best.bareUntil = later(decode.best.bareUntil, now).Add(bareSlowdown * p.latency.prefillTime(item.Request.PromptTokens))
			p.lastBareUntil = later(p.lastBareUntil, decode.best.bareUntil)
		}
		return r, decode, admission.Placed
	}
	if prefill.best == nil || prefill.best.busyUntil.Sub(now) > maxPrefillBacklog {
		if p.isRestricted(&item.Request) {
			// Engines in other regions may be free for other attempts.
			return nil, prefill, admission.DoesNotFitHere
		}
		return nil, prefill, admission.Full
	}
	r.grant.Prefill, r.grant.PrefillAddr = prefill.best.ID, prefill.best.Addr
	r.grant.PrefillDataCentre, r.grant.PrefillIncarnation = prefill.best.DataCentre, prefill.best.Incarnation
	r.prefillTokens = max(1, item.Request.PromptTokens-prefill.best.cachedTokens(item.Request.PrefixHashes))
	p.latency.addComputed(float64(r.prefillTokens) / float64(max(1, item.Request.PromptTokens)))
	r.grant.DecodeCold = p.countRequest(decode.best, &item.Request, now)
	r.grant.PrefillCold = p.countRequest(prefill.best, &item.Request, now)
	r.setWaited(item, now)
	p.reserve(r, now)
	if p.latency.prefillPerToken > 0 {
		r.grant.ExpectedPrefill = prefill.best.busyUntil.Sub(now)
	}
	p.recordPrefix(prefill.best, item.Request.PrefixHashes)
	return r, prefill, admission.Placed
}

// setWaited tells the entry host how long its caller has waited at the time of the grant, if that limits its use.
func (r *reservation) setWaited(item *admission.Item, now time.Time) {
	if r.grant.PrefillCold || r.grant.DecodeCold {
		r.grant.Waited = item.Request.Waited + now.Sub(item.QueuedAt)
	}
}

// canPrefill reports whether a prefill engine may get a request now.
func (p *pool) canPrefill(request *core.PlacementRequest, now time.Time) bool {
	possible := false
	p.prefillCandidates.AscendIn(request.Regions, func(u *upstream) bool {
		possible = possible || p.allows(u, request, 1, now)
		return !possible
	})
	return possible
}

const (
	// maxPrefixEntries bounds the entries of enginesByPrefix; above it, all are deleted. enginesPerPrefix bounds the
	// engines in one entry.
	maxPrefixEntries = 1 << 16
	enginesPerPrefix = 4
)

// recordPrefix records that an engine gets a prompt and will have the blocks with the prompt's prefix hashes cached.
func (p *pool) recordPrefix(u *upstream, hashes []uint64) {
	u.addCachedHashes(hashes, p.cachedHashLimit())
	if len(hashes) == 0 {
		return
	}
	list := slices.DeleteFunc(p.enginesByPrefix[hashes[0]], func(id core.UpstreamID) bool { return id == u.ID })
	list = slices.Insert(list, 0, u.ID)
	p.enginesByPrefix[hashes[0]] = list[:min(len(list), enginesPerPrefix)]
	if len(p.enginesByPrefix) > maxPrefixEntries {
		clear(p.enginesByPrefix)
	}
}

// cachedHashLimit returns the maximum number of cached prefix hashes per engine; engines share the limit of the pool.
func (p *pool) cachedHashLimit() int {
	return min(maxHashesPerEngine, max(minHashesPerEngine, maxHashesPerPool/max(1, len(p.upstreams))))
}

// reserve adds a reservation to the pool and charges it to its upstreams.
func (p *pool) reserve(r *reservation, now time.Time) {
	for _, u := range []*upstream{p.prefillUpstream(r), p.decodeUpstream(r)} {
		if u != nil && u.refusals.beginTrial(now) {
			p.decodeCandidates.Remove(u)
			p.prefillCandidates.Remove(u)
			p.recount(u)
		}
	}
	r.reservedAt = now
	p.reservations[r.request.Attempt] = r
	p.recordMemory(r.memory)
	if decode := p.decodeUpstream(r); decode != nil {
		decode.reservedSlots++
		decode.pendingDecodes += r.pendingDecodes()
		if decode.placementSeq > 0 {
			p.placements++
			decode.placementSeq = maxInitialSeq + p.placements
		}
		decode.reservedMemory += r.memory
		p.reorder(decode)
	}
	if prefill := p.prefillUpstream(r); prefill != nil {
		prefill.prefillTokens += r.prefillTokens
		prefill.busyUntil = later(prefill.busyUntil, now).Add(p.latency.prefillTime(r.prefillTokens))
		p.reorder(prefill)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pendingDecodes returns 1 for an attempt whose decode follows a prefill that has not ended, and 0 for any other.
func (r *reservation) pendingDecodes() int {
	if r.prefillTokens > 0 {
		return 1
	}
	return 0
}

// releasePrefill releases the prefill part of a reservation.
func (p *pool) releasePrefill(r *reservation, now time.Time) {
	if decode := p.decodeUpstream(r); decode != nil {
		decode.pendingDecodes -= r.pendingDecodes()
	}
	if prefill := p.prefillUpstream(r); prefill != nil && r.prefillTokens > 0 {
		prefill.prefillTokens -= r.prefillTokens
		prefill.busyUntil = now.Add(p.latency.prefillTime(prefill.prefillTokens))
		p.reorder(prefill)
	}
	r.prefillTokens = 0
	if r.latePrefill {
		r.latePrefill = false
		p.latePrefills--
	}
}

// recordPrefillTime updates the latency estimate with a prefill that has just ended.
func (p *pool) recordPrefillTime(r *reservation, now time.Time) {
	u := p.prefillUpstream(r)
	if u == nil || r.prefillTokens == 0 {
		return
	}
	p.latency.addPrefill(now.Sub(later(u.lastPrefillEnd, r.reservedAt)), r.prefillTokens)
	u.lastPrefillEnd = now
}

// release removes a reservation from the pool.
func (p *pool) release(r *reservation, now time.Time) {
	p.releasePrefill(r, now)
	if decode := p.decodeUpstream(r); decode != nil {
		decode.reservedSlots--
		decode.reservedMemory -= r.memory
		p.reorder(decode)
		p.recordFreed(r, decode, now)
	}
	delete(p.reservations, r.request.Attempt)
}

// applyAnnouncement stores an upstream's announcement unless a newer one is known. A new incarnation starts with an
// empty cache, a closed circuit breaker and no attempts without a reservation.
func (p *pool) applyAnnouncement(a core.Announcement, now time.Time) {
	u := p.upstreams[a.ID]
	if u != nil && a.Incarnation < u.Incarnation {
		return
	}
	if u != nil && a.Incarnation == u.Incarnation && a.Seq < u.Seq {
		// A late announcement tells only whether the upstream had begun to leave.
		u.Leaving = u.Leaving || a.Leaving
		return
	}
	if len(p.upstreams) == 0 {
		p.stockedSince = now
	}
	if u == nil || a.Incarnation > u.Incarnation {
		p.removeUpstream(u, now)
		u = &upstream{
			Announcement: a,
			cachedHashes: map[uint64]uint64{}, unreservedSince: map[core.AttemptID]time.Time{},
			decodeIndex: -1, prefillIndex: -1, regionDecodeIndex: -1, regionPrefillIndex: -1, roomIndex: -1, firstSeen: now,
			cold: coldStart{allowance: allowance{tokens: 1, filledAt: now}},
		}
		p.upstreams[a.ID] = u
		p.countVersion(a.SoftwareVersion)
		p.restoreReservations(u)
	}
	if u.SoftwareVersion != a.SoftwareVersion {
		p.uncountVersion(u.SoftwareVersion, now)
		p.countVersion(a.SoftwareVersion)
	}
	u.misdirected = u.misdirected && a.Seq > 0 && a.Seq == u.Seq
	// Within an incarnation, a known upstream that is leaving stays leaving, since announcements may arrive late.
	a.Leaving = a.Leaving || (a.Seq > 0 && u.Leaving)
	u.Announcement = a
	u.evacuated = p.config.IsEvacuated(a.DataCentre)
	p.moveToRegion(u, p.regions[a.DataCentre])
	if a.ColdStated {
		u.cold.state(now, a.ColdFor)
	}
	u.lastSeen = later(u.lastSeen, now)
	p.lastSeen = later(p.lastSeen, now)
}

// restoreReservations charges the existing reservations on an incarnation of an upstream to its new record.
func (p *pool) restoreReservations(u *upstream) {
	for _, r := range p.reservations {
		if p.decodeUpstream(r) == u {
			u.reservedSlots++
			u.reservedMemory += r.memory
			u.pendingDecodes += r.pendingDecodes()
		}
		if p.prefillUpstream(r) == u {
			u.prefillTokens += r.prefillTokens
		}
	}
}

// prefillUpstream returns the record of the prefill engine that a reservation is for, or nil.
func (p *pool) prefillUpstream(r *reservation) *upstream {
	return p.incarnationOf(r.grant.Prefill, r.grant.PrefillIncarnation)
}

// decodeUpstream returns the record of the upstream that sends the response of a reservation, or nil.
func (p *pool) decodeUpstream(r *reservation) *upstream {
	return p.incarnationOf(r.grant.Decode, r.grant.DecodeIncarnation)
}

// grantedUpstream returns the record of an upstream that a reservation names, or nil.
func (p *pool) grantedUpstream(r *reservation, id core.UpstreamID) *upstream {
	switch id {
	case r.grant.Decode:
		return p.decodeUpstream(r)
	case r.grant.Prefill:
		return p.prefillUpstream(r)
	}
	return nil
}

// incarnationOf returns the record of an incarnation of an upstream, or nil. An upstream that has restarted holds nothing of
// what was reserved for its earlier incarnation, and what became of that says nothing of the later one. Incarnation zero is
// not known and matches any.
func (p *pool) incarnationOf(id core.UpstreamID, incarnation uint64) *upstream {
	u := p.upstreams[id]
	if u == nil || (incarnation != 0 && incarnation != u.Incarnation) {
		return nil
	}
	return u
}

// removeUpstream removes an upstream from the pool; nil is ignored.
func (p *pool) removeUpstream(u *upstream, now time.Time) {
	if u != nil {
		p.uncountVersion(u.SoftwareVersion, now)
		p.decodeCandidates.Remove(u)
		p.prefillCandidates.Remove(u)
		p.recount(u)
		delete(p.upstreams, u.ID)
	}
}

// hasStaying reports whether the pool has an upstream that is neither leaving nor evacuated.
func (p *pool) hasStaying() bool {
	for _, u := range p.upstreams {
		if !u.Leaving && !u.evacuated {
			return true
		}
	}
	return false
}

// isUnused reports whether the pool is empty and has had no upstream for staleTimeout.
func (p *pool) isUnused(now time.Time) bool {
	return len(p.upstreams) == 0 && len(p.reservations) == 0 && p.queue.Len() == 0 &&
		now.Sub(p.emptySince) >= staleTimeout
}

// removeStale removes upstreams whose last heartbeat is too old.
func (p *pool) removeStale(now time.Time) {
	for _, u := range p.upstreams {
		age := now.Sub(u.lastSeen)
		if p.heartbeatReference(now).Sub(u.lastSeen) >= staleTimeout ||
			(u.Leaving && age >= staleTimeout) || age >= maxStaleAge {
			p.removeUpstream(u, now)
		}
	}
}

// orphanedAttempts records which attempts of a report have no reservation and returns those past the grace period.
func (p *pool) orphanedAttempts(u *upstream, r *core.LoadReport, now time.Time) []core.AttemptID {
	unreserved := map[core.AttemptID]time.Time{}
	var orphaned []core.AttemptID
	for _, a := range r.Attempts {
		if p.reservations[a] != nil {
			continue
		}
		since, ok := u.unreservedSince[a]
		if !ok {
			since = now
		}
		unreserved[a] = since
		if now.Sub(since) >= orphanGracePeriod {
			orphaned = append(orphaned, a)
		}
	}
	u.unreservedSince = unreserved
	return orphaned
}
