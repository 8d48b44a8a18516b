package upstream

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"

	"oleanderlever/core"
)

// The paths of the protocol.
const (
	PathAnnounce = "/upstream/v1/announce"
	PathReport   = "/upstream/v1/report"
	PathPrefill  = "/engine/v1/prefill"
	PathDecode   = "/engine/v1/decode"
	PathCancel   = "/engine/v1/cancel"
	PathKV       = "/engine/v1/kv/"
	PathOrder    = "/engine/v1/order"
)

// HeaderAttempt carries the attempt ID, which upstreams echo in their answer.
const HeaderAttempt = "X-Attempt"

// HeaderRequest carries the request ID to plain services and back to callers.
const HeaderRequest = "X-Request-Id"

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt string     `json:"attempt"`
	Epoch   core.Epoch `json:"epoch"`
	// Body is the caller's request as it came, with every field that the host does not know.
	Body json.RawMessage `json:"body"`
	// Generated is the text that follows the prompt because an earlier engine made it.
	Generated string   `json:"generated"`
	Blocks    []uint64 `json:"blocks"`
}

// PrefillReply says where the result lies and for how long.
type PrefillReply struct {
	Attempt string      `json:"attempt"`
	Handle  string      `json:"handle"`
	Prompt  core.Tokens `json:"promptTokens"`
	Cached  core.Tokens `json:"cachedTokens"`
}

// DecodeRequest asks an engine to generate, or with Resume to go on with a stream that it still holds.
type DecodeRequest struct {
	Attempt   string          `json:"attempt"`
	Epoch     core.Epoch      `json:"epoch"`
	KVFrom    netip.AddrPort  `json:"kvFrom"`
	KVHandle  string          `json:"kvHandle"`
	Body      json.RawMessage `json:"body"`
	Generated string          `json:"generated"`
	// Offset is the number of the first token wanted, counted from zero over all attempts of the request.
	Offset core.Tokens `json:"offset"`
	Max    core.Tokens `json:"maxTokens"`
	Resume bool        `json:"resume"`
}

// Token is one line of a decode's answer; the last one has Done set and no text.
type Token struct {
	Attempt string      `json:"attempt"`
	Offset  core.Tokens `json:"offset"`
	Text    string      `json:"text"`
	Done    bool        `json:"done"`
	// Finish is why the stream ended: "stop" or "length".
	Finish string      `json:"finish,omitempty"`
	Prompt core.Tokens `json:"promptTokens,omitempty"`
}

// CancelRequest asks an engine to free everything that it holds for an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// OrderRequest tells an engine what to become. An engine that checks fencing refuses an epoch below the highest seen.
type OrderRequest struct {
	Epoch core.Epoch `json:"epoch"`
	core.Assignment
}

// Refusal is the body of an upstream's error answer.
type Refusal struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// NotRun is true where the upstream has done nothing of the request.
	NotRun bool `json:"notRun"`
}

// ParseAttempt reads an attempt ID as upstreams echo it.
func ParseAttempt(s string) (core.AttemptID, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 1 {
		return core.AttemptID{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return core.AttemptID{Request: core.RequestID(s[:i]), Number: n}, err == nil
}
