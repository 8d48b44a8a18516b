package upstream

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"

	"oleanderlever/core"
)

// The paths of the upstream protocol.
const (
	PathAnnounce = "/upstream/v1/announce"
	PathReport   = "/upstream/v1/report"
	PathPrefill  = "/engine/v1/prefill"
	PathDecode   = "/engine/v1/decode"
	PathCancel   = "/engine/v1/cancel"
	PathKV       = "/engine/v1/kv/"
	PathAssign   = "/engine/v1/order"
)

// HeaderAttempt contains the attempt ID; upstreams echo it in their response.
const HeaderAttempt = "X-Attempt"

// HeaderRequestID contains the request ID in requests to plain services and in responses to callers.
const HeaderRequestID = "X-Request-Id"

// PrefillRequest requests the KV cache of a prompt from an engine.
type PrefillRequest struct {
	// Upstream is the engine that the request is for.
	Upstream core.UpstreamID `json:"-"`
	Attempt  string          `json:"attempt"`
	Epoch    core.Epoch      `json:"epoch"`
	// Body is the unmodified body of the caller's request, including fields that the host does not know.
	Body json.RawMessage `json:"body"`
	// Generated is the text that earlier attempts generated; it follows the prompt.
	Generated    string   `json:"generated"`
	PrefixHashes []uint64 `json:"blocks"`
}

// PrefillResponse contains the handle of the computed KV cache.
type PrefillResponse struct {
	Attempt      string      `json:"attempt"`
	Handle       string      `json:"handle"`
	PromptTokens core.Tokens `json:"promptTokens"`
	CachedTokens core.Tokens `json:"cachedTokens"`
	// Statement is what the engine said of itself, or nil if it did not respond.
	Statement *core.UpstreamStatement `json:"-"`
}

// DecodeRequest requests output tokens from an engine, or with Resume the rest of a stream that the engine still keeps.
type DecodeRequest struct {
	// Upstream is the engine that the request is for.
	Upstream  core.UpstreamID `json:"-"`
	Attempt   string          `json:"attempt"`
	Epoch     core.Epoch      `json:"epoch"`
	KVAddr    netip.AddrPort  `json:"kvFrom"`
	KVHandle  string          `json:"kvHandle"`
	Body      json.RawMessage `json:"body"`
	Generated string          `json:"generated"`
	// Offset is the index of the first requested token, counted from zero over all attempts of the request.
	Offset    core.Tokens `json:"offset"`
	MaxTokens core.Tokens `json:"maxTokens"`
	Resume    bool        `json:"resume"`
}

// Token is one line of a decode response; the last one has Done set and no text.
type Token struct {
	Attempt string      `json:"attempt"`
	Offset  core.Tokens `json:"offset"`
	Text    string      `json:"text"`
	Done    bool        `json:"done"`
	// FinishReason is why the stream ended: "stop" or "length".
	FinishReason string      `json:"finish,omitempty"`
	PromptTokens core.Tokens `json:"promptTokens,omitempty"`
}

// CancelRequest requests that an engine free all resources of an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// AssignRequest tells an engine which pool, role and model to take on. An engine that checks fencing rejects a term
// below the highest that it has seen.
type AssignRequest struct {
	Epoch core.Epoch `json:"epoch"`
	core.Assignment
}

// ErrorResponse is the body of an upstream's error response.
type ErrorResponse struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// NotExecuted is true if the upstream executed no part of the request.
	NotExecuted bool `json:"notRun"`
	// Attempt is the attempt of a prefill or decode that the response belongs to; without it NotExecuted is not trusted.
	Attempt string `json:"attempt,omitempty"`
}

// ParseAttempt parses the text form of an attempt ID; it returns false if the text is invalid.
func ParseAttempt(s string) (core.AttemptID, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 1 {
		return core.AttemptID{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return core.AttemptID{Request: core.RequestID(s[:i]), Number: n}, err == nil
}
