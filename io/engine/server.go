package engine

import (
	"bufio"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/links"
	"oleanderlever/io/upstream"
)

// PathFaults accepts Faults as JSON; it is not part of the upstream protocol.
const PathFaults = "/standin/v1/faults"

// PathStats returns Stats as JSON; it is not part of the upstream protocol.
const PathStats = "/standin/v1/stats"

const maxBodyBytes = 64 << 20

// httpServer is the HTTP interface of an engine.
type httpServer struct {
	engine     *Engine
	http       *fasthttp.Server
	listener   net.Listener
	announcer  *upstream.Announcer
	lastHandle atomic.Uint64
	addr       netip.AddrPort
}

// Start starts an engine, which runs until Stop or Kill.
func Start(c Config) (*Engine, error) {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	if c.Advertised.IsValid() {
		addr = c.Advertised
	}
	e := &Engine{config: c, kvEntries: map[string]*kvEntry{}, streams: map[string]*stream{}, prefixCache: map[uint64]time.Time{}}
	h := &httpServer{engine: e, listener: l, addr: addr}
	h.http = &fasthttp.Server{Handler: h.handle, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true}
	h.announcer = &upstream.Announcer{
		Announcement: core.Announcement{
			ID: c.ID, Pool: c.Pool, Role: c.Role, Addr: addr, DataCentre: c.DataCentre,
			Incarnation: uint64(time.Now().UnixMilli()), Slots: c.Slots, MemoryPages: c.Pages, ChecksFencing: c.ChecksFencing,
			SoftwareVersion: c.SoftwareVersion,
		},
		Hosts: c.Hosts, Secret: c.Secret, Report: e.loadReport,
	}
	e.server = h
	go func() { _ = h.http.Serve(l) }()
	h.announcer.Start()
	return e, nil
}

// Addr returns the address that the engine announces.
func (e *Engine) Addr() netip.AddrPort { return e.server.addr }

// Announcement returns the current announcement.
func (e *Engine) Announcement() core.Announcement { return e.server.announcer.Current() }

// Stop announces that the engine is leaving and shuts it down.
func (e *Engine) Stop() {
	e.server.announcer.Stop()
	e.Kill()
}

// Kill ends the engine without announcing that it is leaving; its connections break.
func (e *Engine) Kill() {
	_ = e.server.listener.Close()
	e.mu.Lock()
	for _, s := range e.streams {
		e.freeStreamLocked(s)
	}
	e.mu.Unlock()
	_ = e.server.http.Shutdown()
}

func (h *httpServer) handle(ctx *fasthttp.RequestCtx) {
	if secret := h.engine.config.Secret; secret != "" && string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) != "Bearer "+secret {
		writeError(ctx, fasthttp.StatusUnauthorized, "forbidden", "wrong or missing credentials", true)
		return
	}
	h.engine.mu.Lock()
	said := h.engine.faults.Said
	h.engine.mu.Unlock()
	defer func() { said.SetHeaders(&ctx.Response.Header) }()
	path := string(ctx.Path())
	switch {
	case path == upstream.PathPrefill:
		h.prefill(ctx)
	case path == upstream.PathDecode:
		h.decode(ctx)
	case path == upstream.PathCancel:
		h.cancel(ctx)
	case strings.HasPrefix(path, upstream.PathKV):
		h.serveKV(ctx, strings.TrimPrefix(path, upstream.PathKV))
	case path == upstream.PathAssign:
		h.assign(ctx)
	case path == PathStats:
		writeJSON(ctx, h.engine.Stats())
	case path == PathFaults:
		h.setFaults(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "notFound", "no such path", true)
	}
}

func writeError(ctx *fasthttp.RequestCtx, status int, kind, message string, notExecuted bool) {
	writeAttemptError(ctx, "", status, kind, message, notExecuted)
}

// writeAttemptError responds to the prefill or decode of an attempt.
func writeAttemptError(ctx *fasthttp.RequestCtx, attempt string, status int, kind, message string, notExecuted bool) {
	ctx.SetStatusCode(status)
	writeJSON(ctx, upstream.ErrorResponse{Kind: kind, Message: message, NotExecuted: notExecuted, Attempt: attempt})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func (h *httpServer) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	h.engine.SetFaults(f)
}

func (h *httpServer) prefill(ctx *fasthttp.RequestCtx) {
	e := h.engine
	var request upstream.PrefillRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	p, err := parsePrompt(request.Body, request.Generated)
	if err != nil {
		writeAttemptError(ctx, request.Attempt, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	switch {
	case faults.RejectRequests:
		writeAttemptError(ctx, request.Attempt, fasthttp.StatusServiceUnavailable, "full", "the engine is at capacity", true)
		return
	case faults.FailPrefills:
		writeAttemptError(ctx, request.Attempt, fasthttp.StatusInternalServerError, "failed", "the prefill failed", false)
		return
	}
	cached, ready := e.schedulePrefill(p, time.Now())
	time.Sleep(time.Until(ready))
	handle := strconv.FormatUint(h.lastHandle.Add(1), 36)
	e.addKV(handle, request.Attempt, p, p.tokens()-cached)
	writeJSON(ctx, upstream.PrefillResponse{Attempt: request.Attempt, Handle: handle, PromptTokens: p.tokens(), CachedTokens: cached})
}

// serveKV responds to the engine that fetches the KV cache of a prefill.
func (h *httpServer) serveKV(ctx *fasthttp.RequestCtx, handle string) {
	h.engine.mu.Lock()
	k := h.engine.kvEntries[handle]
	h.engine.mu.Unlock()
	if k == nil {
		writeError(ctx, fasthttp.StatusGone, "gone", "the KV cache entry does not exist", true)
		return
	}
	h.engine.freeKV(handle, true)
	writeJSON(ctx, k.promptTokens)
}

// fetchKV fetches the KV cache from the prefill engine.
func (h *httpServer) fetchKV(request *upstream.DecodeRequest) error {
	if request.KVAddr == h.addr {
		h.engine.freeKV(request.KVHandle, true)
		return nil
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + request.KVAddr.String() + upstream.PathKV + request.KVHandle)
	if h.engine.config.Secret != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+h.engine.config.Secret)
	}
	resp, err := links.Fetch(request.KVAddr, req, maxBodyBytes, kvHandleTTL)
	if err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("status %d", resp.StatusCode())
	}
	return nil
}

func (h *httpServer) decode(ctx *fasthttp.RequestCtx) {
	var request upstream.DecodeRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	s, reason := h.openStream(&request)
	if s == nil {
		writeAttemptError(ctx, request.Attempt, fasthttp.StatusServiceUnavailable, "refused", reason, true)
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(b *bufio.Writer) { h.engine.detachReader(s, h.writeTokens(b, s, request.Offset)) })
}

// openStream finds the stream to resume or starts a new one, and attaches a reader. It returns a reason instead if there
// is no stream.
func (h *httpServer) openStream(request *upstream.DecodeRequest) (*stream, string) {
	e := h.engine
	if request.Resume {
		e.mu.Lock()
		defer e.mu.Unlock()
		s := e.streams[request.Attempt]
		if s == nil {
			return nil, "there is no such stream to resume"
		}
		e.attachReaderLocked(s)
		return s, ""
	}
	p, err := parsePrompt(request.Body, request.Generated)
	if err != nil {
		return nil, err.Error()
	}
	if err := h.fetchKV(request); err != nil {
		return nil, "fetching the KV cache failed: " + err.Error()
	}
	s, reason := e.startStream(request, p)
	if s != nil {
		e.mu.Lock()
		e.attachReaderLocked(s)
		e.mu.Unlock()
	}
	return s, reason
}

// writeTokens writes the tokens from an offset on as they are generated and reports whether all of them were written.
func (h *httpServer) writeTokens(b *bufio.Writer, s *stream, from core.Tokens) bool {
	e := h.engine
	sentTokens := 0
	_ = b.Flush()
	for next := from; ; {
		e.mu.Lock()
		generated, done, changed, aborted, faults := s.baseOffset+s.generatedTokens, s.done, s.changed, s.aborted, e.faults
		e.mu.Unlock()
		for ; next < generated; next++ {
			if faults.DisconnectAfter > 0 && sentTokens >= faults.DisconnectAfter && !isResumed(s, from) {
				return false
			}
			if faults.StallAfter > 0 && sentTokens >= faults.StallAfter {
				<-s.stop
				return false
			}
			if !writeLine(b, upstream.Token{Attempt: s.attempt, Offset: next, Text: OutputToken(s.seed, next)}) {
				return false
			}
			sentTokens++
		}
		if aborted {
			return false
		}
		if done {
			return h.writeEnd(b, s)
		}
		<-changed
	}
}

// isResumed reports whether a reader resumes a stream that was disconnected before.
func isResumed(s *stream, from core.Tokens) bool { return from > s.baseOffset }

func (h *httpServer) writeEnd(b *bufio.Writer, s *stream) bool {
	finishReason := "stop"
	if s.baseOffset+s.maxTokens < h.engine.config.OutputTokens {
		finishReason = "length"
	}
	return writeLine(b, upstream.Token{Attempt: s.attempt, Offset: s.baseOffset + s.generatedTokens, Done: true, FinishReason: finishReason, PromptTokens: s.promptTokens})
}

func writeLine(b *bufio.Writer, t upstream.Token) bool {
	text, err := json.Marshal(t)
	if err != nil {
		return false
	}
	_, _ = b.Write(append(text, '\n'))
	return b.Flush() == nil
}

// assign changes the announced pool, role and model as requested; running streams continue.
func (h *httpServer) assign(ctx *fasthttp.RequestCtx) {
	var request upstream.AssignRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	e := h.engine
	e.mu.Lock()
	fenced := e.config.ChecksFencing && request.Epoch < e.highestEpoch
	e.highestEpoch = max(e.highestEpoch, request.Epoch)
	e.mu.Unlock()
	if fenced {
		writeError(ctx, fasthttp.StatusConflict, "oldEpoch", "the request is from an earlier leader", true)
		return
	}
	h.announcer.Update(func(a *core.Announcement) {
		a.Pool, a.Role, a.ModelVersion, a.Adapter = request.Pool, request.Role, request.ModelVersion, request.Adapter
	})
	writeJSON(ctx, request)
}

func (h *httpServer) cancel(ctx *fasthttp.RequestCtx) {
	var request upstream.CancelRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "badRequest", err.Error(), true)
		return
	}
	h.engine.cancel(request.Attempt)
	writeJSON(ctx, request)
}
