package engine

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
	"oleanderlever/io/upstream"
)

// Config describes a stand-in engine.
type Config struct {
	ID         core.UpstreamID
	Pool       core.PoolID
	Role       core.Role
	DataCentre core.DataCentre
	Listen     netip.AddrPort
	// Advertised is the address that the engine announces; if it is not set, the engine announces its listener's.
	Advertised netip.AddrPort
	// Hosts are the addresses at which hosts accept announcements.
	Hosts  []netip.AddrPort
	Secret string
	Slots  int
	// Pages is the engine's memory in pages of core.PageTokens.
	Pages int
	// PrefillPerToken is the prefill time per uncached prompt token, TokenInterval the time between two tokens of a
	// stream.
	PrefillPerToken time.Duration
	TokenInterval   time.Duration
	// OutputTokens is the number of tokens of a response unless the decode request sets a lower limit.
	OutputTokens core.Tokens
	// SoftwareVersion is the version that the engine announces, or empty.
	SoftwareVersion core.SoftwareVersion
	// ChecksFencing makes the engine reject assign requests with a term below the highest that it has seen.
	ChecksFencing bool
}

// Faults are the faults that an engine injects; they can be changed while it runs.
type Faults struct {
	// DisconnectAfter disconnects each stream once after this many tokens; the stream can be resumed. Zero disables it.
	DisconnectAfter int `json:"cutAfter"`
	// StallAfter stalls each connection after this many tokens without closing it. Zero disables it.
	StallAfter int `json:"silentAfter"`
	// RejectRequests rejects every prefill and every new decode as if the engine were at capacity.
	RejectRequests bool `json:"refuse"`
	// FailPrefills responds to every prefill with an error.
	FailPrefills bool `json:"failPrefill"`
	upstream.Said
}

const (
	// kvHandleTTL is how long the KV cache of a finished prefill is kept for a decode to fetch it.
	kvHandleTTL = 800 * time.Millisecond
	// streamResumeTimeout is how long a stream without a reader can be resumed.
	streamResumeTimeout = 3 * time.Second
	// maxCacheBlocks is the capacity of the prefix cache in blocks.
	maxCacheBlocks = 4096
)

// Engine is a running stand-in engine.
type Engine struct {
	config Config
	server *httpServer

	mu     sync.Mutex
	faults Faults
	// kvEntries is keyed by handle, streams by attempt ID.
	kvEntries map[string]*kvEntry
	streams   map[string]*stream
	usedPages int
	// prefillFreeAt is when the next prefill can start.
	prefillFreeAt time.Time
	// prefixCache maps the hashes of the cached prefix blocks to the time of their last use.
	prefixCache   map[uint64]time.Time
	storedBlocks  []uint64
	evictedBlocks []uint64
	// generatedTokens counts output tokens, computedTokens prompt tokens that were not cached, and wastedTokens computed
	// ones whose KV cache no decode used.
	generatedTokens int64
	wastedTokens    int64
	computedTokens  int64
	// highestEpoch is the highest term of an assign request so far.
	highestEpoch core.Epoch
}

// kvEntry is the KV cache of a finished prefill.
type kvEntry struct {
	attempt        string
	promptTokens   core.Tokens
	computedTokens core.Tokens
	pages          int
	expiryTimer    *time.Timer
}

// prompt is the part of a caller's request that the stand-in reads.
type prompt struct {
	text []byte
	seed uint64
}

// parsePrompt parses the prompt in a request body. The seed of the output does not depend on the generated text, so that
// an engine that takes over a request continues the same output.
func parsePrompt(body []byte, generated string) (prompt, error) {
	var b struct {
		Prompt   json.RawMessage `json:"prompt"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return prompt{}, err
	}
	text := slices.Clone([]byte(b.Prompt))
	for _, m := range b.Messages {
		text = append(append(text, m.Role...), m.Content...)
	}
	return prompt{text: append(text, generated...), seed: xxhash.Sum64(text)}, nil
}

func (p prompt) tokens() core.Tokens { return core.Tokens(len(p.text)/dispatch.BytesPerToken + 1) }

// Seed returns the seed with which OutputToken returns the output for a caller's request body.
func Seed(body []byte) (uint64, error) {
	p, err := parsePrompt(body, "")
	return p.seed, err
}

// vocabulary lists the words of the output.
var vocabulary = []string{"warm", "wishes", "bright", "harbour", "lemon", "morning", "gentle", "road", "jasmine", "star", "river", "bread", "olive", "song", "garden", "evening"}

// OutputToken returns the output token at index i for a seed; it is the same on every engine.
func OutputToken(seed uint64, i core.Tokens) string {
	x := (seed + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return vocabulary[x>>60] + " "
}

// stream is a running decode, or a finished one that can still be resumed.
type stream struct {
	attempt      string
	pages        int
	promptTokens core.Tokens
	// baseOffset is the offset of the first token that this stream generates.
	baseOffset      core.Tokens
	seed            uint64
	maxTokens       core.Tokens
	generatedTokens core.Tokens
	done            bool
	aborted         bool
	readers         int
	// changed is closed and replaced when a token is generated or the stream ends.
	changed   chan struct{}
	stop      chan struct{}
	idleTimer *time.Timer
}

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// ActiveAttempts returns the sorted IDs of the attempts that the engine holds memory for.
func (e *Engine) ActiveAttempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeAttemptsLocked()
}

func (e *Engine) activeAttemptsLocked() []string {
	var out []string
	for _, k := range e.kvEntries {
		out = append(out, k.attempt)
	}
	for a := range e.streams {
		out = append(out, a)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// schedulePrefill reserves the engine for a prompt and returns the number of cached tokens and the time at which the
// prefill will be finished. The engine computes one prompt at a time.
func (e *Engine) schedulePrefill(p prompt, now time.Time) (cached core.Tokens, ready time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range dispatch.PrefixHashes(p.text) {
		if _, ok := e.prefixCache[b]; ok && cached >= 0 {
			cached += core.PrefixBlockTokens
		}
		if _, ok := e.prefixCache[b]; !ok {
			e.storedBlocks = append(e.storedBlocks, b)
		}
		e.prefixCache[b] = now
	}
	e.evict()
	if now.After(e.prefillFreeAt) {
		e.prefillFreeAt = now
	}
	e.computedTokens += int64(p.tokens() - cached)
	e.prefillFreeAt = e.prefillFreeAt.Add(time.Duration(p.tokens()-cached) * e.config.PrefillPerToken)
	return cached, e.prefillFreeAt
}

func (e *Engine) evict() {
	for len(e.prefixCache) > maxCacheBlocks {
		var oldest uint64
		var at time.Time
		for b, t := range e.prefixCache {
			if at.IsZero() || t.Before(at) {
				oldest, at = b, t
			}
		}
		delete(e.prefixCache, oldest)
		e.evictedBlocks = append(e.evictedBlocks, oldest)
	}
}

// loadReport returns the active attempts and the cache events since the last report.
func (e *Engine) loadReport() (upstream.ReportBody, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := upstream.ReportBody{Attempts: e.activeAttemptsLocked()}
	r.StoredBlocks, r.EvictedBlocks = e.storedBlocks, e.evictedBlocks
	e.storedBlocks, e.evictedBlocks = nil, nil
	return r, true
}

// addKV stores the KV cache of a prefill, which is freed after kvHandleTTL if no decode fetches it.
func (e *Engine) addKV(handle, attempt string, p prompt, computedTokens core.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := &kvEntry{attempt: attempt, promptTokens: p.tokens(), computedTokens: computedTokens, pages: core.Pages(p.tokens())}
	k.expiryTimer = time.AfterFunc(kvHandleTTL, func() { e.freeKV(handle, false) })
	e.kvEntries[handle] = k
	e.usedPages += k.pages
}

// freeKV frees the KV cache of a prefill; if it was not used, its computed tokens count as wasted.
func (e *Engine) freeKV(handle string, used bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeKVLocked(handle, used)
}

func (e *Engine) freeKVLocked(handle string, used bool) {
	k := e.kvEntries[handle]
	if k == nil {
		return
	}
	k.expiryTimer.Stop()
	e.usedPages -= k.pages
	delete(e.kvEntries, handle)
	if !used {
		e.wastedTokens += int64(k.computedTokens)
	}
}

// Stats counts the tokens that an engine has computed, wasted and generated since its start.
type Stats struct {
	ComputedTokens  int64 `json:"computed"`
	WastedTokens    int64 `json:"wasted"`
	GeneratedTokens int64 `json:"generated"`
}

// Stats returns the engine's token counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{ComputedTokens: e.computedTokens, WastedTokens: e.wastedTokens, GeneratedTokens: e.generatedTokens}
}

// startStream starts a stream if a slot and enough memory are free; otherwise it returns the reason.
func (e *Engine) startStream(request *upstream.DecodeRequest, p prompt) (*stream, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := min(request.MaxTokens, max(0, e.config.OutputTokens-request.Offset))
	pages := core.Pages(p.tokens() + request.MaxTokens)
	if e.faults.RejectRequests || len(e.streams) >= e.config.Slots || e.usedPages+pages > e.config.Pages {
		return nil, "the engine is at capacity"
	}
	if e.streams[request.Attempt] != nil {
		return nil, "the attempt is already running"
	}
	s := &stream{
		attempt: request.Attempt, pages: pages, promptTokens: p.tokens(), baseOffset: request.Offset, seed: p.seed, maxTokens: limit,
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	e.streams[request.Attempt] = s
	e.usedPages += pages
	go e.generate(s)
	return s, ""
}

// generate generates one token per TokenInterval until the stream is complete or freed.
func (e *Engine) generate(s *stream) {
	ticker := time.NewTicker(e.config.TokenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
		e.mu.Lock()
		if s.generatedTokens < s.maxTokens {
			s.generatedTokens++
			e.generatedTokens++
		}
		s.done = s.generatedTokens >= s.maxTokens
		close(s.changed)
		s.changed = make(chan struct{})
		done := s.done
		e.mu.Unlock()
		if done {
			return
		}
	}
}

// cancel frees all resources of an attempt.
func (e *Engine) cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for handle, k := range e.kvEntries {
		if k.attempt == attempt {
			e.freeKVLocked(handle, false)
		}
	}
	e.freeStreamLocked(e.streams[attempt])
}

func (e *Engine) freeStreamLocked(s *stream) {
	if s == nil || e.streams[s.attempt] != s {
		return
	}
	delete(e.streams, s.attempt)
	e.usedPages -= s.pages
	close(s.stop)
	if !s.done {
		s.done = true
		s.aborted = true
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// attachReaderLocked adds a reader to a stream.
func (e *Engine) attachReaderLocked(s *stream) {
	s.readers++
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
}

// detachReader removes a reader. It frees the stream if the reader got all of it; otherwise the stream can be resumed
// until streamResumeTimeout has passed without a reader.
func (e *Engine) detachReader(s *stream, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if complete {
		e.freeStreamLocked(s)
		return
	}
	if s.readers == 0 {
		s.idleTimer = time.AfterFunc(streamResumeTimeout, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s.readers == 0 {
				e.freeStreamLocked(s)
			}
		})
	}
}
