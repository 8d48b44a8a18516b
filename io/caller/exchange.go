package caller

import (
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/http1"
	"oleanderlever/io/links"
	"oleanderlever/io/upstream"
)

// response is what the HTTP handler responds with: one of a stream, a service's response, a stored response, a failure
// or a complete body.
type response struct {
	stream          io.ReadCloser
	serviceResponse *fasthttp.Response
	stored          *core.StoredResponse
	body            []byte
	failure         *core.Failure
}

// exchange handles the traffic of one request: it executes the core's instructions and posts their results.
type exchange struct {
	id     core.RequestID
	loop   *control.Loop
	client *upstream.Client
	// controlSide delivers the core's instructions. response receives exactly one value, as soon as the first byte of the
	// response is known. ended is closed when run returns.
	controlSide *control.Exchange
	// active is the connection of the attempt in progress.
	active   links.ActiveConn
	response chan response
	ended    chan struct{}

	model           *modelRequestBody
	encoder         responseEncoder
	body            []byte
	serviceRequest  *fasthttp.Request
	serviceResponse *fasthttp.Response
	outputText      strings.Builder
	outputTokens    core.Tokens
	promptTokens    core.Tokens
	finishReason    string
	streamWriter    *io.PipeWriter
	// memory holds the bodies of the request and of a plain service's response.
	memory *http1.MemoryLease
}

// run executes the core's instructions until the request ends.
func (x *exchange) run() {
	defer close(x.ended)
	defer x.memory.Release()
	for a := range x.controlSide.Instructions {
		switch a := a.(type) {
		case core.RunPrefill:
			x.prefill(a)
		case core.RunDecode:
			x.decode(a)
		case core.RunCall:
			x.callService(a)
		case core.FinishRequest:
			x.finish()
			return
		case core.SendStoredResponse:
			x.response <- response{stored: &a.Response}
			return
		case core.RefuseRequest:
			x.fail(a.Failure)
			return
		}
	}
}

func (x *exchange) prefill(a core.RunPrefill) {
	request := &upstream.PrefillRequest{Upstream: a.UpstreamID, Attempt: a.Attempt.String(), Epoch: a.Epoch, Body: x.body, Generated: x.outputText.String(), PrefixHashes: a.PrefixHashes}
	resp, f := x.client.ForAttempt(a.Attempt.Number, &x.active).Prefill(a.Addr, request, a.Timeout)
	x.loop.Post(core.PrefillEnded{
		Attempt: a.Attempt, KV: core.KVRef{Addr: a.Addr, Handle: resp.Handle},
		PromptTokens: resp.PromptTokens, Failure: f, Statement: resp.Statement,
	})
}

func (x *exchange) decode(a core.RunDecode) {
	request := &upstream.DecodeRequest{
		Upstream: a.UpstreamID, Attempt: a.Attempt.String(), Epoch: a.Epoch, KVAddr: a.KV.Addr, KVHandle: a.KV.Handle, Body: x.body,
		Generated: x.outputText.String(), Offset: x.outputTokens, MaxTokens: a.MaxTokens, Resume: a.Resume,
	}
	first := x.outputTokens == 0
	result := x.client.ForAttempt(a.Attempt.Number, &x.active).Decode(a.Addr, request, a.TokenTimeout, upstream.DecodeCallbacks{
		OnStart: func(s *core.UpstreamStatement) {
			x.loop.TryPost(core.StreamStarted{Attempt: a.Attempt, Statement: s})
		},
		OnToken: func(text string) error {
			if first {
				first = false
				x.loop.TryPost(core.FirstToken{Attempt: a.Attempt})
			}
			return x.relayToken(text)
		},
	})
	if result.Failure == nil {
		x.finishReason = result.FinishReason
	}
	if x.promptTokens == 0 {
		x.promptTokens = result.PromptTokens
	}
	x.loop.Post(core.DecodeEnded{
		Attempt: a.Attempt, RelayedTokens: x.outputTokens, Failure: result.Failure, ConnectionLost: result.ConnectionLost,
		RemoteClosed: result.RemoteClosed, Statement: result.Statement,
	})
}

// relayToken sends a token to the caller if the response is streamed. It always keeps the text, for a response that is
// not streamed and for an engine that continues the output after a failure.
func (x *exchange) relayToken(text string) error {
	x.outputTokens++
	x.outputText.WriteString(text)
	if !x.model.Stream {
		return nil
	}
	if x.streamWriter == nil {
		r, w := io.Pipe()
		x.streamWriter = w
		x.response <- response{stream: r}
	}
	_, err := x.streamWriter.Write(x.encoder.event(text, nil, nil))
	return err
}

func (x *exchange) callService(a core.RunCall) {
	x.serviceResponse = fasthttp.AcquireResponse()
	f := x.client.ForAttempt(a.Attempt.Number, &x.active).Call(a.Addr, a.Attempt, x.serviceRequest, x.serviceResponse, a.Timeout, a.NewConnection, x.memory)
	ended := core.CallEnded{Attempt: a.Attempt, Failure: f}
	if f == nil {
		ended.Response = storedResponse(x.serviceResponse)
		ended.Statement = upstream.Statement(a.UpstreamID, &x.serviceResponse.Header)
	}
	x.loop.Post(ended)
}

// maxStoredResponseBytes limits the body of a response that is stored for resent requests.
const maxStoredResponseBytes = 64 << 10

func storedResponse(r *fasthttp.Response) core.StoredResponse {
	s := core.StoredResponse{Status: r.StatusCode(), ContentType: string(r.Header.ContentType())}
	if len(r.Body()) > maxStoredResponseBytes {
		s.TooLarge = true
		return s
	}
	s.Body = append([]byte(nil), r.Body()...)
	return s
}

func (x *exchange) finish() {
	if x.serviceResponse != nil {
		x.response <- response{serviceResponse: x.serviceResponse}
		return
	}
	u := &usage{Prompt: x.promptTokens, Completion: x.outputTokens, Total: x.promptTokens + x.outputTokens}
	switch {
	case x.streamWriter != nil:
		x.writeEnd(u)
	case x.model.Stream:
		x.response <- response{body: append(x.encoder.event("", &x.finishReason, u), doneEvent...)}
	default:
		x.response <- response{body: x.encoder.complete(x.outputText.String(), x.finishReason, u)}
	}
}

func (x *exchange) writeEnd(u *usage) {
	if _, err := x.streamWriter.Write(append(x.encoder.event("", &x.finishReason, u), doneEvent...)); err != nil {
		return
	}
	_ = x.streamWriter.Close()
}

func (x *exchange) fail(f *core.Failure) {
	if x.streamWriter == nil {
		x.response <- response{failure: f}
		return
	}
	event := append([]byte("data: "), errorJSON(x.id, f)...)
	_, _ = x.streamWriter.Write(append(event, '\n', '\n'))
	_ = x.streamWriter.Close()
}

// watchDisconnect tells the core if the caller disconnects before the request ends.
func (x *exchange) watchDisconnect(disconnected <-chan struct{}) {
	select {
	case <-disconnected:
		x.loop.Post(core.CallerDisconnected{Request: x.id})
	case <-x.ended:
	}
}

func newExchange(id core.RequestID, loop *control.Loop, client *upstream.Client, memory *http1.MemoryLease) *exchange {
	x := &exchange{
		id: id, loop: loop, client: client, memory: memory, encoder: responseEncoder{id: id, created: time.Now()},
		controlSide: control.NewExchange(), response: make(chan response, 1), ended: make(chan struct{}),
	}
	x.controlSide.Abort = func(a core.AttemptID) { x.active.Abort(a.Number) }
	return x
}
