package upstream

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/http1"
	"oleanderlever/io/links"
	"oleanderlever/io/socket"
)

const (
	contentJSON   = "application/json"
	cancelTimeout = 2 * time.Second
	// maxTokenBytes limits a line of a decode response, maxReplyBytes the body of any other response of an engine.
	maxTokenBytes = 64 << 10
	maxReplyBytes = 1 << 20
)

// fillRequest makes req an authenticated POST request with a JSON body.
func (c *Client) fillRequest(req *fasthttp.Request, addr netip.AddrPort, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.SetHost(addr.String())
	req.Header.SetContentType(contentJSON)
	req.SetBody(text)
	if c.secret != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, bearer.Value(c.secret))
	}
	return nil
}

// errorFailure converts an upstream's error response. The upstream's statement that the request was not executed is trusted if
// it names the attempt: a response on a kept connection may belong to an earlier one.
func errorFailure(status int, body []byte, attempt string, s *core.UpstreamStatement) *core.Failure {
	var r ErrorResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return core.Fail(core.KindUpstreamFailed, "the upstream responded with status %d", status)
	}
	if r.Attempt != attempt {
		return core.Fail(core.KindUpstreamFailed, "the upstream's error response belongs to attempt %q", r.Attempt)
	}
	kind := core.KindUpstreamFailed
	switch {
	case status == fasthttp.StatusBadRequest:
		kind = core.KindBadRequest
	case r.NotExecuted:
		kind = core.KindUpstreamRefused
	}
	f := &core.Failure{Kind: kind, Message: r.Message, NotExecuted: r.NotExecuted}
	if r.NotExecuted && s != nil {
		f.RetryAfter = s.RetryAfter
	}
	return f
}

// response is an upstream's complete response.
type response struct {
	status    int
	body      []byte
	statement *core.UpstreamStatement
}

// send sends a POST request with a JSON body and reads the complete response.
func (c *Client) send(
	addr netip.AddrPort, id core.UpstreamID, path string, body any, timeout time.Duration,
) (response, *core.Failure) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := c.fillRequest(req, addr, path, body); err != nil {
		return response{}, core.FailureOf(err)
	}
	r, f := c.roundTrip(addr, req, timeout, false)
	if f != nil {
		return response{}, f
	}
	statement := Statement(id, &r.header)
	memory := c.NewLease()
	defer memory.Release()
	reply, f := c.readBody(r, maxReplyBytes, memory)
	return response{status: r.header.StatusCode(), body: reply, statement: statement}, f
}

// Prefill requests the KV cache of a prompt from an engine.
func (c *Client) Prefill(addr netip.AddrPort, request *PrefillRequest, timeout time.Duration) (PrefillResponse, *core.Failure) {
	var result PrefillResponse
	resp, f := c.send(addr, request.Upstream, PathPrefill, request, timeout)
	result.Statement = resp.statement
	if f != nil {
		return result, f
	}
	if resp.status != fasthttp.StatusOK {
		return result, errorFailure(resp.status, resp.body, request.Attempt, resp.statement)
	}
	if err := json.Unmarshal(resp.body, &result); err != nil || result.Attempt != request.Attempt || result.PromptTokens < 0 {
		return result, core.Fail(core.KindUpstreamFailed, "the prefill response is invalid or not for attempt %s", request.Attempt)
	}
	return result, nil
}

// Cancel requests that an engine free all resources of an attempt and reports whether the engine acknowledged it.
func (c *Client) Cancel(addr netip.AddrPort, id core.AttemptID) bool {
	resp, f := c.send(addr, "", PathCancel, &CancelRequest{Attempt: id.String()}, cancelTimeout)
	return f == nil && resp.status == fasthttp.StatusOK
}

// Assign sends an assign request to an engine and waits for the response.
func (c *Client) Assign(addr netip.AddrPort, req core.AssignRequest, timeout time.Duration) *core.Failure {
	resp, f := c.send(addr, "", PathAssign, &AssignRequest{Epoch: req.Epoch, Assignment: req.Assignment}, timeout)
	if f == nil && resp.status != fasthttp.StatusOK {
		f = errorFailure(resp.status, resp.body, "", nil)
	}
	return f
}

// DecodeResult describes the end of a decode's stream.
type DecodeResult struct {
	FinishReason string
	PromptTokens core.Tokens
	// ConnectionLost is true if the connection was lost or timed out before the end of the stream, or if a token is
	// missing; the engine may still hold the stream.
	ConnectionLost bool
	// RemoteClosed is true if the connection was lost because the engine closed or reset it.
	RemoteClosed bool
	Failure      *core.Failure
	// Statement is what the engine said of itself, or nil if it did not respond.
	Statement *core.UpstreamStatement
}

// DecodeCallbacks are called while a stream is read.
type DecodeCallbacks struct {
	// OnStart, if set, gets what the engine says of itself when its response begins.
	OnStart func(s *core.UpstreamStatement)
	// OnToken gets each token in order. An error means that the caller disconnected and ends the stream.
	OnToken func(text string) error
}

// Decode requests a stream of tokens and passes each token on in order. It checks offsets and attempt ID, so that a stream with
// a gap or with another attempt's tokens ends in a failure and not in a wrong response.
func (c *Client) Decode(addr netip.AddrPort, request *DecodeRequest, tokenTimeout time.Duration, callbacks DecodeCallbacks) DecodeResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := c.fillRequest(req, addr, PathDecode, request); err != nil {
		return DecodeResult{Failure: core.FailureOf(err)}
	}
	r, f := c.roundTrip(addr, req, tokenTimeout, false)
	if f != nil {
		return DecodeResult{Failure: f, ConnectionLost: !f.NotExecuted, RemoteClosed: f.UpstreamEnded}
	}
	statement := Statement(request.Upstream, &r.header)
	if r.header.StatusCode() != fasthttp.StatusOK {
		memory := c.NewLease()
		defer memory.Release()
		body, f := c.readBody(r, maxReplyBytes, memory)
		if f == nil {
			f = errorFailure(r.header.StatusCode(), body, request.Attempt, statement)
		}
		return DecodeResult{Failure: f, Statement: statement}
	}
	if callbacks.OnStart != nil {
		callbacks.OnStart(statement)
	}
	body := http1.Body(r.conn.Reader, r.header.ContentLength())
	result := readTokens(body, request, func(text string) error {
		if err := callbacks.OnToken(text); err != nil {
			return err
		}
		return r.conn.SetDeadline(time.Now().Add(tokenTimeout))
	})
	if result.RemoteClosed {
		result.Failure.UpstreamEnded = links.RefusesConnections(addr)
	}
	if n, err := body.Read(make([]byte, 1)); result.Failure != nil || n > 0 || !errors.Is(err, io.EOF) {
		r.closeConn = true
	}
	c.release(r)
	result.Statement = statement
	return result
}

// readTokens reads a stream up to its last token. Repeated tokens are skipped and not passed to onToken, so that they do
// not extend the time for the next token.
func readTokens(r io.Reader, request *DecodeRequest, onToken func(text string) error) DecodeResult {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxTokenBytes)
	next := request.Offset
	for lines.Scan() {
		var t Token
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil || t.Attempt != request.Attempt {
			return DecodeResult{Failure: core.Fail(core.KindUpstreamFailed, "a token is invalid or not for attempt %s", request.Attempt)}
		}
		if t.Done {
			return DecodeResult{FinishReason: t.FinishReason, PromptTokens: t.PromptTokens}
		}
		if t.Offset < next {
			continue
		}
		if t.Offset > next {
			return DecodeResult{ConnectionLost: true, Failure: core.Fail(core.KindUpstreamFailed, "received token %d, expected token %d", t.Offset, next)}
		}
		next++
		if err := onToken(t.Text); err != nil {
			return DecodeResult{Failure: core.Fail(core.KindCancelled, "the caller disconnected")}
		}
	}
	err := lines.Err()
	return DecodeResult{
		ConnectionLost: true, RemoteClosed: err == nil || socket.ClosedByRemote(err),
		Failure: core.Fail(core.KindUpstreamFailed, "the stream ended before token %d: %v", next, err),
	}
}
