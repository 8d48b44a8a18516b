package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/core/dispatch"
)

// modelRequestBody is the part of a model request that the host reads; the engine gets the unmodified body.
type modelRequestBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens and takes precedence.
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	Stream              bool   `json:"stream"`
	N                   *int   `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// tokensPerMessage is the estimated number of tokens that a chat template adds to each message.
const tokensPerMessage = 4

// bearerKey returns the API key in the Authorization header, and false if there is none.
func bearerKey(h *fasthttp.RequestHeader) (string, bool) {
	scheme, key, ok := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return strings.TrimSpace(key), true
}

// hashKey returns the hash by which the configuration identifies an API key.
func hashKey(key string) core.KeyHash { return sha256.Sum256([]byte(key)) }

// parseModel parses the body of a model request and sets the fields of r that depend on it.
func parseModel(chat bool, body []byte, r *core.Request) (modelRequestBody, *core.Failure) {
	var m modelRequestBody
	if err := json.Unmarshal(body, &m); err != nil {
		return m, core.Fail(core.KindBadRequest, "invalid JSON request body: %v", err)
	}
	if m.Model == "" {
		return m, core.Fail(core.KindBadRequest, "model: missing")
	}
	if m.N != nil && *m.N != 1 {
		return m, core.Fail(core.KindBadRequest, "n: only 1 choice per request is supported")
	}
	text, f := promptText(chat, &m)
	if f != nil {
		return m, f
	}
	r.Model = core.PoolID(m.Model)
	r.PromptTokens = core.Tokens(len(text)/dispatch.BytesPerToken + tokensPerMessage*len(m.Messages) + 1)
	r.PrefixHashes = dispatch.PrefixHashes(text)
	r.PromptParts = r.PrefixHashes[:min(core.MaxPromptParts, len(r.PrefixHashes))]
	for _, n := range []*int64{m.MaxCompletionTokens, m.MaxTokens} {
		if n == nil {
			continue
		}
		if *n < 1 {
			return m, core.Fail(core.KindBadRequest, "max_tokens or max_completion_tokens: must be at least 1")
		}
		r.MaxOutput = core.Tokens(*n)
		break
	}
	return m, nil
}

func promptText(chat bool, m *modelRequestBody) ([]byte, *core.Failure) {
	if !chat {
		if len(m.Prompt) == 0 {
			return nil, core.Fail(core.KindBadRequest, "prompt: missing")
		}
		return m.Prompt, nil
	}
	if len(m.Messages) == 0 {
		return nil, core.Fail(core.KindBadRequest, "messages: missing")
	}
	var text []byte
	for _, msg := range m.Messages {
		text = append(text, msg.Role...)
		text = append(text, msg.Content...)
	}
	return text, nil
}

// forwardedRequestHeaders are the headers that are forwarded to plain services; all others are dropped.
var forwardedRequestHeaders = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage, fasthttp.HeaderUserAgent,
	fasthttp.HeaderIfNoneMatch, fasthttp.HeaderIfModifiedSince, headerIdempotencyKey, "Traceparent", "Tracestate",
}

// headerIdempotencyKey contains the idempotency key of a call that must not be executed twice.
const headerIdempotencyKey = "Idempotency-Key"

// buildServiceRequest writes the request for a plain service into out, without the caller's API key. It returns a
// failure if the path or the body contains the key, and drops query arguments, headers and cookies that contain it.
func buildServiceRequest(from *fasthttp.Request, key string, body []byte, out *fasthttp.Request) *core.Failure {
	out.Header.SetMethodBytes(from.Header.Method())
	path, query := string(from.URI().PathOriginal()), string(from.URI().QueryString())
	if containsKey(path, key) || (key != "" && bytes.Contains(body, []byte(key))) {
		return keyOutsideHeader()
	}
	path += queryWithoutKey(query, key)
	out.SetRequestURI(path)
	out.SetBody(body)
	for _, name := range forwardedRequestHeaders {
		if v := from.Header.Peek(name); len(v) > 0 && !containsKey(string(v), key) {
			out.Header.SetBytesV(name, v)
		}
	}
	from.Header.Cookies()(func(k, v []byte) bool {
		if !containsKey(string(k)+string(v), key) {
			out.Header.SetCookieBytesKV(k, v)
		}
		return true
	})
	return nil
}

// keyOutsideHeader returns the failure of a request that would disclose its API key to an upstream.
func keyOutsideHeader() *core.Failure {
	return core.Fail(core.KindBadRequest, "the API key may appear only in the Authorization header")
}

// containsKey reports whether a text contains the API key, verbatim or percent-encoded.
func containsKey(text, key string) bool {
	if key == "" {
		return false
	}
	var args fasthttp.Args
	args.Parse("v=" + text)
	return strings.Contains(text, key) || strings.Contains(string(args.Peek("v")), key)
}

// queryWithoutKey returns "?" and the query without the arguments that contain the API key, or an empty string.
func queryWithoutKey(query, key string) string {
	if query == "" {
		return ""
	}
	var kept []string
	for arg := range strings.SplitSeq(query, "&") {
		if !containsKey(arg, key) {
			kept = append(kept, arg)
		}
	}
	if len(kept) == 0 {
		return ""
	}
	return "?" + strings.Join(kept, "&")
}
