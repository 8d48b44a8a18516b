package caller

import (
	"cmp"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/upstream"
)

const (
	contentJSON   = "application/json"
	contentStream = "text/event-stream"
	// statusCallerDisconnected is a non-standard status that no caller reads, because the connection is closed.
	statusCallerDisconnected = 499
)

// httpStatuses maps error kinds to HTTP statuses; kinds that are not listed are internal errors.
var httpStatuses = map[core.Kind]int{
	core.KindBadRequest:            fasthttp.StatusBadRequest,
	core.KindBodyTooLarge:          fasthttp.StatusRequestEntityTooLarge,
	core.KindNoKey:                 fasthttp.StatusUnauthorized,
	core.KindBadKey:                fasthttp.StatusUnauthorized,
	core.KindNoRoute:               fasthttp.StatusNotFound,
	core.KindUnknownModel:          fasthttp.StatusNotFound,
	core.KindRateLimited:           fasthttp.StatusTooManyRequests,
	core.KindOverloaded:            fasthttp.StatusServiceUnavailable,
	core.KindNoUpstream:            fasthttp.StatusServiceUnavailable,
	core.KindQuarantined:           fasthttp.StatusServiceUnavailable,
	core.KindVersionUnavailable:    fasthttp.StatusServiceUnavailable,
	core.KindNotReady:              fasthttp.StatusServiceUnavailable,
	core.KindDeadlineExceeded:      fasthttp.StatusGatewayTimeout,
	core.KindUpstreamRefused:       fasthttp.StatusServiceUnavailable,
	core.KindMisdirected:           fasthttp.StatusServiceUnavailable,
	core.KindUpstreamFailed:        fasthttp.StatusBadGateway,
	core.KindOutcomeUnknown:        fasthttp.StatusBadGateway,
	core.KindIdempotencyConflict:   fasthttp.StatusUnprocessableEntity,
	core.KindIdempotencyInProgress: fasthttp.StatusConflict,
	core.KindVersionConflict:       fasthttp.StatusConflict,
	core.KindNoLeader:              fasthttp.StatusServiceUnavailable,
	core.KindNotFound:              fasthttp.StatusNotFound,
	core.KindForbidden:             fasthttp.StatusForbidden,
	core.KindCancelled:             statusCallerDisconnected,
}

// Status returns the HTTP status of an error kind.
func Status(k core.Kind) int {
	if s, ok := httpStatuses[k]; ok {
		return s
	}
	return fasthttp.StatusInternalServerError
}

// errorBody is the JSON body of all error responses and error events.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Kind        string         `json:"kind"`
	Message     string         `json:"message"`
	NotExecuted bool           `json:"notRun"`
	RequestID   core.RequestID `json:"requestId,omitempty"`
}

func errorJSON(id core.RequestID, f *core.Failure) []byte {
	text, err := json.Marshal(errorBody{Error: errorFields{Kind: f.Kind.String(), Message: f.Message, NotExecuted: f.NotExecuted, RequestID: id}})
	if err != nil {
		return []byte(`{"error":{"kind":"internal"}}`)
	}
	return text
}

// writeError writes an error response.
func writeError(ctx *fasthttp.RequestCtx, id core.RequestID, f *core.Failure) {
	ctx.SetStatusCode(Status(f.Kind))
	ctx.SetContentType(contentJSON)
	if retryAfter := cmp.Or(f.RetryAfter, f.Kind.Info().RetryAfter); retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if f.Kind == core.KindNoKey || f.Kind == core.KindBadKey {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	ctx.Response.Header.Set(upstream.HeaderRequestID, string(id))
	ctx.SetBody(errorJSON(id, f))
}

// usage is the token count of a model response.
type usage struct {
	Prompt     core.Tokens `json:"prompt_tokens"`
	Completion core.Tokens `json:"completion_tokens"`
	Total      core.Tokens `json:"total_tokens"`
}

// modelResponse is a complete response or one event of a stream.
type modelResponse struct {
	ID      core.RequestID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   core.PoolID    `json:"model"`
	Choices []modelChoice  `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type modelChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// responseEncoder encodes the responses to one model request.
type responseEncoder struct {
	id      core.RequestID
	model   core.PoolID
	chat    bool
	created time.Time
	started bool
}

// event returns a server-sent event with a token, or the last event, which has a finish reason and the usage instead.
func (e *responseEncoder) event(text string, finishReason *string, u *usage) []byte {
	object := "text_completion"
	if e.chat {
		object = "chat.completion.chunk"
	}
	c := modelChoice{FinishReason: finishReason}
	switch {
	case !e.chat:
		c.Text = &text
	case finishReason != nil:
		c.Delta = &chatMessage{}
	default:
		c.Delta = &chatMessage{Content: &text}
		if !e.started {
			c.Delta.Role = "assistant"
		}
	}
	e.started = true
	return sseEvent(e.response(object, c, u))
}

// complete returns the body of a response that is not streamed.
func (e *responseEncoder) complete(text, finishReason string, u *usage) []byte {
	c := modelChoice{FinishReason: &finishReason}
	object := "text_completion"
	if e.chat {
		object = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	return marshal(e.response(object, c, u))
}

func (e *responseEncoder) response(object string, c modelChoice, u *usage) modelResponse {
	return modelResponse{ID: e.id, Object: object, Created: e.created.Unix(), Model: e.model, Choices: []modelChoice{c}, Usage: u}
}

func sseEvent(v any) []byte {
	event := append([]byte("data: "), marshal(v)...)
	return append(event, '\n', '\n')
}

// doneEvent ends a complete stream; an incomplete one ends with an error event instead.
var doneEvent = []byte("data: [DONE]\n\n")

func marshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return text
}
