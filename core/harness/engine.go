package harness

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"oleanderlever/core"
)

// EngineConfig describes a fake engine.
type EngineConfig struct {
	Pool  core.PoolID
	Role  core.Role
	Slots int
	Pages int
	// DataCentre is empty for an engine that announces none.
	DataCentre core.DataCentre
	// PrefillPerToken is the prefill time per uncached prompt token, TokenInterval the time between two tokens of a
	// stream.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	// KVHandleTTL is how long the KV cache of a finished prefill is kept for a decode to fetch.
	KVHandleTTL time.Duration
	// LinkRate is the rate at which the engine sends KV cache to others, in tokens per second.
	LinkRate core.Tokens
	// ReportDelay is the age of a load report when it arrives, ReportLossRate the fraction of reports that are lost.
	ReportDelay    time.Duration
	ReportLossRate float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// SoftwareVersion is the version of the engine's software. A response with tokens of two versions is a violation.
	SoftwareVersion core.SoftwareVersion
}

// Engine is a fake model engine.
type Engine struct {
	EngineConfig
	ID core.UpstreamID
	Up bool
	// HeartbeatsDisabled stops the announcements and load reports.
	HeartbeatsDisabled bool
	// Stalled is true while the engine keeps its connections open, but sends neither responses nor heartbeats; Stall and
	// Unstall set it.
	Stalled bool
	// StreamsStarted counts the streams that were started.
	StreamsStarted int
	// PrefilledTokens counts the prompt tokens that were computed, WastedTokens those whose KV cache no decode used.
	PrefilledTokens core.Tokens
	WastedTokens    core.Tokens
	RateLimit

	upstreams     *FakeUpstreams
	index         int
	incarnation   uint64
	seq           uint64
	prefillFreeAt time.Time
	linkFreeAt    time.Time
	usedPages     int
	kvEntries     map[string]*kvEntry
	streams       map[core.AttemptID]*stream
	prefixCache   map[uint64]uint64
	cacheClock    uint64
	storedBlocks  []uint64
	evictedBlocks []uint64
	lastHandle    int
}

// kvEntry is the KV cache of a prefill that is finished or running.
type kvEntry struct {
	attempt        core.AttemptID
	computedTokens core.Tokens
	pages          int
	ready          bool
	used           bool
}

// stream is a decode; it runs to completion unless it is cancelled or the engine fails.
type stream struct {
	exchange     *Exchange
	pages        int
	baseTokens   core.Tokens
	startedAt    time.Time
	outputTokens core.Tokens
	// ended is set once the connection of the stream has ended; a resumed stream is a new object.
	ended bool
}

// AddEngine starts a fake engine.
func (f *FakeUpstreams) AddEngine(c EngineConfig) *Engine {
	e := &Engine{EngineConfig: c, ID: core.UpstreamID(fmt.Sprintf("%s-%s-%d", c.Pool, c.Role, len(f.Engines))), upstreams: f, index: len(f.Engines)}
	f.Engines = append(f.Engines, e)
	e.Restart()
	e.heartbeat()
	return e
}

// Kill crashes the engine: its memory is lost and its connections break.
func (e *Engine) Kill() {
	e.Up = false
	for _, k := range e.kvEntries {
		e.countWasted(k)
	}
	for _, a := range e.streamAttempts() {
		s := e.streams[a]
		s.ended = true
		e.breakConnection(a, s)
	}
}

// Stall makes the engine unresponsive: its streams stop, and requests to it get no response.
func (e *Engine) Stall() {
	e.Stalled = true
	for _, a := range e.streamAttempts() {
		s := e.streams[a]
		if s.ended {
			continue
		}
		s.ended = true
		s.exchange.RelayedTokens = max(s.exchange.RelayedTokens, s.baseTokens+e.generatedTokens(s))
		e.upstreams.run.After(tokenTimeout, func() { e.upstreams.decodeEnded(s.exchange, a, connectionBroken(), true) })
	}
}

// Unstall lets a stalled engine respond again.
func (e *Engine) Unstall() { e.Stalled = false }

// tokenTimeout is how long the traffic side waits for the next token of a stalled stream.
const tokenTimeout = 2 * time.Second

// Restart starts the engine with a new incarnation and empty memory.
func (e *Engine) Restart() {
	e.Up, e.Stalled = true, false
	e.incarnation++
	e.seq = 0
	e.usedPages = 0
	e.prefillFreeAt, e.linkFreeAt = time.Time{}, time.Time{}
	e.kvEntries, e.streams, e.prefixCache = map[string]*kvEntry{}, map[core.AttemptID]*stream{}, map[uint64]uint64{}
	e.storedBlocks, e.evictedBlocks = nil, nil
}

func (e *Engine) streamAttempts() []core.AttemptID {
	return slices.SortedFunc(maps.Keys(e.streams), func(a, b core.AttemptID) int { return cmp.Compare(a.String(), b.String()) })
}

// ActiveAttempts returns the attempts that the engine holds memory for.
func (e *Engine) ActiveAttempts() []core.AttemptID {
	out := e.streamAttempts()
	for _, h := range slices.Sorted(maps.Keys(e.kvEntries)) {
		out = append(out, e.kvEntries[h].attempt)
	}
	return out
}

func (e *Engine) heartbeat() {
	e.upstreams.run.After(heartbeatInterval, e.heartbeat)
	if !e.Up || e.HeartbeatsDisabled || e.Stalled {
		return
	}
	e.upstreams.sendToRandomHost(core.UpstreamAnnounced{Announcement: core.Announcement{
		ID: e.ID, Pool: e.Pool, Role: e.Role, Addr: upstreamAddr(e.index, 1), Incarnation: e.incarnation, Slots: e.Slots, MemoryPages: e.Pages,
		ChecksFencing: true, DataCentre: e.DataCentre, SoftwareVersion: e.SoftwareVersion,
	}})
	e.seq++
	r := core.LoadReport{ID: e.ID, Pool: e.Pool, Incarnation: e.incarnation, Seq: e.seq, Attempts: e.ActiveAttempts(), StoredBlocks: e.storedBlocks, EvictedBlocks: e.evictedBlocks}
	e.storedBlocks, e.evictedBlocks = nil, nil
	if e.upstreams.run.Rand.Float64() >= e.ReportLossRate {
		e.upstreams.run.After(e.ReportDelay, func() { e.upstreams.sendToRandomHost(core.UpstreamReported{Report: r}) })
	}
}

// cachePrompt adds the prompt's blocks, given by their prefix hashes, to the prefix cache and returns the number of
// leading prompt tokens that were cached before.
func (e *Engine) cachePrompt(hashes []uint64) core.Tokens {
	hits := 0
	for hits < len(hashes) && e.prefixCache[hashes[hits]] != 0 {
		hits++
	}
	for _, b := range hashes {
		if e.prefixCache[b] == 0 {
			e.storedBlocks = append(e.storedBlocks, b)
		}
		e.cacheClock++
		e.prefixCache[b] = e.cacheClock
	}
	e.evict()
	return core.Tokens(hits) * core.PrefixBlockTokens
}

func (e *Engine) evict() {
	for len(e.prefixCache) > e.CacheBlocks {
		oldest, at := uint64(0), uint64(0)
		for b, t := range e.prefixCache {
			if at == 0 || t < at {
				oldest, at = b, t
			}
		}
		delete(e.prefixCache, oldest)
		e.evictedBlocks = append(e.evictedBlocks, oldest)
	}
}

// prefill computes a prompt; an engine computes one prompt at a time.
func (f *FakeUpstreams) prefill(x *Exchange, a core.RunPrefill) {
	e := f.engineByAddr(a.Addr)
	f.after(x, f.NetworkDelay, func() {
		if e == nil || !e.Up {
			f.post(x, core.PrefillEnded{Attempt: a.Attempt, Failure: unreachable()})
			return
		}
		x.AttemptsRun++
		e.Arrivals = append(e.Arrivals, f.run.Now)
		if e.Stalled {
			f.after(x, a.Timeout, func() { f.post(x, core.PrefillEnded{Attempt: a.Attempt, Failure: connectionBroken()}) })
			return
		}
		e.prefill(x, a)
	})
}

func (e *Engine) prefill(x *Exchange, a core.RunPrefill) {
	f, now := e.upstreams, e.upstreams.run.Now
	prompt := x.Spec.PromptLength + x.RelayedTokens
	k := &kvEntry{attempt: a.Attempt, pages: core.Pages(prompt)}
	k.computedTokens = max(1, prompt-e.cachePrompt(a.PrefixHashes))
	e.lastHandle++
	handle := fmt.Sprint(e.incarnation, "-", e.lastHandle)
	e.kvEntries[handle] = k
	e.usedPages += k.pages
	if now.After(e.prefillFreeAt) {
		e.prefillFreeAt = now
	}
	e.prefillFreeAt = e.prefillFreeAt.Add(time.Duration(k.computedTokens) * e.PrefillPerToken)
	incarnation := e.incarnation
	f.run.After(e.prefillFreeAt.Sub(now), func() {
		if !e.Up || e.incarnation != incarnation {
			f.after(x, f.NetworkDelay, func() { f.post(x, core.PrefillEnded{Attempt: a.Attempt, Failure: connectionBroken()}) })
			return
		}
		e.PrefilledTokens += k.computedTokens
		if e.kvEntries[handle] != k {
			e.WastedTokens += k.computedTokens
			f.after(x, f.NetworkDelay, func() { f.post(x, core.PrefillEnded{Attempt: a.Attempt, Failure: connectionBroken()}) })
			return
		}
		k.ready = true
		f.run.After(e.KVHandleTTL, func() { e.freeKV(handle, k) })
		ended := core.PrefillEnded{
			Attempt: a.Attempt, KV: core.KVRef{Addr: a.Addr, Handle: handle}, PromptTokens: prompt, Statement: e.statement(e.ID, f.run.Now),
		}
		f.after(x, f.NetworkDelay, func() { f.post(x, ended) })
	})
}

// freeKV removes the KV cache of a prefill and counts it as wasted if no decode used it.
func (e *Engine) freeKV(handle string, k *kvEntry) {
	if e.kvEntries[handle] != k {
		return
	}
	delete(e.kvEntries, handle)
	e.usedPages -= k.pages
	e.countWasted(k)
}

func (e *Engine) countWasted(k *kvEntry) {
	if k.ready && !k.used {
		e.WastedTokens += k.computedTokens
	}
}

func (f *FakeUpstreams) engineByAddr(addr netip.AddrPort) *Engine {
	for _, e := range f.Engines {
		if upstreamAddr(e.index, 1) == addr {
			return e
		}
	}
	return nil
}

// decode fetches the KV cache over the link of the prefill engine, which its transfers share, and generates tokens.
func (f *FakeUpstreams) decode(x *Exchange, a core.RunDecode) {
	e := f.engineByAddr(a.Addr)
	f.after(x, f.NetworkDelay, func() {
		if e == nil || !e.Up {
			f.decodeEnded(x, a.Attempt, unreachable(), false)
			return
		}
		e.Arrivals = append(e.Arrivals, f.run.Now)
		if e.Stalled {
			f.run.After(a.TokenTimeout, func() { f.decodeEnded(x, a.Attempt, connectionBroken(), true) })
			return
		}
		if a.Resume {
			e.resume(x, a)
			return
		}
		e.fetch(x, a)
	})
}

// decodeEnded reports the end of a stream to the core after the network delay.
func (f *FakeUpstreams) decodeEnded(x *Exchange, a core.AttemptID, failure *core.Failure, connectionLost bool) {
	f.after(x, f.NetworkDelay, func() {
		f.post(x, core.DecodeEnded{Attempt: a, RelayedTokens: x.RelayedTokens, Failure: failure, ConnectionLost: connectionLost})
	})
}

func refusal(message string) *core.Failure {
	return &core.Failure{Kind: core.KindUpstreamRefused, Message: message, NotExecuted: true}
}

func (e *Engine) fetch(x *Exchange, a core.RunDecode) {
	f, now := e.upstreams, e.upstreams.run.Now
	from := f.engineByAddr(a.KV.Addr)
	k := from.kvEntries[a.KV.Handle]
	if !from.Up || k == nil {
		f.decodeEnded(x, a.Attempt, refusal("the KV cache entry does not exist"), false)
		return
	}
	wait := time.Duration(0)
	if from != e && from.LinkRate > 0 {
		if now.After(from.linkFreeAt) {
			from.linkFreeAt = now
		}
		from.linkFreeAt = from.linkFreeAt.Add(time.Duration(float64(x.Spec.PromptLength+x.RelayedTokens) / float64(from.LinkRate) * float64(time.Second)))
		wait = from.linkFreeAt.Sub(now)
	}
	f.run.After(wait, func() { e.startStream(x, a, from, k) })
}

func (e *Engine) startStream(x *Exchange, a core.RunDecode, from *Engine, k *kvEntry) {
	f := e.upstreams
	if from.kvEntries[a.KV.Handle] != k || !from.Up {
		f.decodeEnded(x, a.Attempt, refusal("the KV cache entry does not exist"), false)
		return
	}
	s := &stream{exchange: x, baseTokens: x.RelayedTokens, startedAt: f.run.Now, outputTokens: x.OutputLength - x.RelayedTokens, pages: core.Pages(x.Spec.PromptLength + x.RelayedTokens + a.MaxTokens)}
	free := e.Pages - e.usedPages
	if from == e {
		free += k.pages
	}
	if !e.Up || len(e.streams) >= e.Slots || s.pages > free {
		f.decodeEnded(x, a.Attempt, refusal("the engine is at capacity"), false)
		return
	}
	k.used = true
	e.StreamsStarted++
	from.freeKV(a.KV.Handle, k)
	e.streams[a.Attempt] = s
	e.usedPages += s.pages
	f.run.After(e.TokenInterval, func() { e.beginResponse(s, a.Attempt) })
	f.run.After(e.TokenInterval*time.Duration(max(1, s.outputTokens)), func() { e.completeStream(s, a.Attempt) })
}

// crashTime is how long an engine is down after a prompt has crashed it.
const crashTime = 3 * time.Second

// beginResponse generates the first token of a stream, or crashes the engine if the request or a part of its prompt is deadly.
func (e *Engine) beginResponse(s *stream, a core.AttemptID) {
	deadly := e.upstreams.DeadlyContent[s.exchange.ContentHash] ||
		slices.ContainsFunc(s.exchange.PromptParts, func(p uint64) bool { return e.upstreams.DeadlyParts[p] })
	if s.ended || !e.Up || !deadly {
		e.firstToken(s, a)
		return
	}
	e.upstreams.Crashes++
	e.Kill()
	e.upstreams.run.After(crashTime, e.Restart)
}

// recordVersion records that a response has tokens of the engine's software version.
func (e *Engine) recordVersion(s *stream) {
	x := s.exchange
	if x.hasVersion && x.version != e.SoftwareVersion {
		e.upstreams.addViolation("%s has tokens of software versions %q and %q", x.ID, x.version, e.SoftwareVersion)
	}
	x.version, x.hasVersion = e.SoftwareVersion, true
}

// firstToken reports the first token of a stream.
func (e *Engine) firstToken(s *stream, a core.AttemptID) {
	if s.ended || s.outputTokens == 0 {
		return
	}
	statement := e.statement(e.ID, e.upstreams.run.Now)
	e.upstreams.after(s.exchange, e.upstreams.NetworkDelay, func() {
		x, now := s.exchange, e.upstreams.run.Now
		if x.FirstTokenAt.IsZero() {
			x.FirstTokenAt = now
			e.upstreams.post(x, core.StreamStarted{Attempt: a, Statement: statement})
			e.upstreams.post(x, core.FirstToken{Attempt: a})
		} else if now.Sub(x.lastTokenAt) > MaxTokenGap {
			x.LateTokens++
		}
		x.lastTokenAt = now
	})
}

// completeStream ends a stream whose tokens have all been generated.
func (e *Engine) completeStream(s *stream, a core.AttemptID) {
	if s.ended {
		return
	}
	s.ended = true
	e.freeStream(a, s)
	e.upstreams.after(s.exchange, e.upstreams.NetworkDelay, func() {
		if s.outputTokens > 0 {
			e.recordVersion(s)
		}
		s.exchange.RelayedTokens = s.baseTokens + s.outputTokens
		s.exchange.lastTokenAt = e.upstreams.run.Now
	})
	e.upstreams.decodeEnded(s.exchange, a, nil, false)
}

func (e *Engine) freeStream(a core.AttemptID, s *stream) {
	if e.streams[a] == s {
		delete(e.streams, a)
		e.usedPages -= s.pages
	}
}

// generatedTokens returns the number of tokens that a stream has generated by now.
func (e *Engine) generatedTokens(s *stream) core.Tokens {
	return min(s.outputTokens, core.Tokens(e.upstreams.run.Now.Sub(s.startedAt)/e.TokenInterval))
}

// breakConnection delivers the generated tokens to the caller and reports the connection as lost.
func (e *Engine) breakConnection(a core.AttemptID, s *stream) {
	if n := s.baseTokens + e.generatedTokens(s); n > s.exchange.RelayedTokens {
		e.recordVersion(s)
		s.exchange.RelayedTokens = n
		s.exchange.lastTokenAt = e.upstreams.run.Now
	}
	f, failure := e.upstreams, connectionEnded(e.Up)
	f.after(s.exchange, f.NetworkDelay, func() {
		f.post(s.exchange, core.DecodeEnded{
			Attempt: a, RelayedTokens: s.exchange.RelayedTokens, Failure: failure, ConnectionLost: true, RemoteClosed: true,
		})
	})
}

// BreakConnections breaks the connections of all streams; the streams continue on the engine and can be resumed.
func (e *Engine) BreakConnections() {
	for _, a := range e.streamAttempts() {
		s := e.streams[a]
		if s.ended {
			continue
		}
		s.ended = true
		e.breakConnection(a, s)
	}
}

// resume continues a stream whose connection broke.
func (e *Engine) resume(x *Exchange, a core.RunDecode) {
	s := e.streams[a.Attempt]
	if s == nil || s.exchange != x {
		e.upstreams.decodeEnded(x, a.Attempt, refusal("there is no such stream to resume"), false)
		return
	}
	remaining := s.outputTokens - e.generatedTokens(s)
	resumed := &stream{exchange: x, baseTokens: s.baseTokens, startedAt: s.startedAt, outputTokens: s.outputTokens, pages: s.pages}
	e.streams[a.Attempt] = resumed
	e.upstreams.run.After(e.TokenInterval*time.Duration(max(1, remaining)), func() { e.completeStream(resumed, a.Attempt) })
}

// assign changes an engine's role after AssignTime; attempts in progress continue.
func (f *FakeUpstreams) assign(h *Host, a core.SendAssignRequest) {
	e := f.engineByAddr(a.Addr)
	generation := h.generation
	f.run.After(f.AssignTime, func() {
		ended := core.AssignRequestEnded{Upstream: a.Request.Assignment.Upstream, Epoch: a.Request.Epoch}
		if e == nil || !e.Up {
			ended.Failure = unreachable()
		} else {
			e.Role = a.Request.Assignment.Role
		}
		if h.Up && h.generation == generation {
			f.run.Post(h, ended)
		}
	})
}

// cancel frees the memory that an engine holds for an attempt and reports the result.
func (f *FakeUpstreams) cancel(h *Host, a core.CancelAttempt) {
	e := f.engineByAddr(a.Addr)
	generation := h.generation
	f.run.After(f.NetworkDelay, func() {
		if e == nil || !e.Up || e.Stalled {
			f.cancelEnded(h, generation, a, false)
			return
		}
		for _, handle := range slices.Sorted(maps.Keys(e.kvEntries)) {
			if e.kvEntries[handle].attempt == a.Attempt {
				e.freeKV(handle, e.kvEntries[handle])
			}
		}
		if s := e.streams[a.Attempt]; s != nil {
			if !s.ended {
				s.ended = true
				e.breakConnection(a.Attempt, s)
			}
			e.freeStream(a.Attempt, s)
		}
		f.cancelEnded(h, generation, a, true)
	})
}

func (f *FakeUpstreams) cancelEnded(h *Host, generation int, a core.CancelAttempt, ok bool) {
	f.run.After(f.NetworkDelay, func() {
		if h.Up && h.generation == generation {
			f.run.Post(h, core.CancelEnded{Attempt: a.Attempt, Addr: a.Addr, OK: ok})
		}
	})
}
