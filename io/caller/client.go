package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/io/http1"
	"oleanderlever/io/links"
)

// Client is a client of the caller API for the demo, the load tool and tests.
type Client struct {
	Addr   netip.AddrPort
	APIKey string
	// Timeout limits the time of a Do call; zero means defaultTimeout. It does not limit streams.
	Timeout time.Duration
}

// Header is a request header.
type Header struct{ Name, Value string }

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
	// StoredResponse is true if the host sent a stored response.
	StoredResponse bool
	// Kind and NotExecuted are set from an error response or an error event.
	Kind        string
	NotExecuted bool
}

const (
	defaultTimeout = 2 * time.Minute
	connectTimeout = time.Second
	// maxResponseBytes limits a complete response.
	maxResponseBytes = 64 << 20
)

func (c *Client) fillRequest(req *fasthttp.Request, method, path string, body []byte, headers []Header) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetHost(c.Addr.String())
	if len(body) > 0 {
		req.Header.SetContentType(contentJSON)
		req.SetBody(body)
	}
	if c.APIKey != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.APIKey)
	}
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
}

// Do sends a request and reads the complete response.
func (c *Client) Do(method, path string, body []byte, headers ...Header) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fillRequest(req, method, path, body, headers)
	deadline := time.Now().Add(c.timeout())
	conn, err := links.Open(c.Addr, connectTimeout)
	if err != nil {
		return Response{}, errors.Wrap(err, path)
	}
	defer func() { _ = conn.Close() }()
	resp, err := conn.Exchange(req, maxResponseBytes, deadline)
	if err != nil {
		return Response{}, errors.Wrap(err, path)
	}
	return newResponse(&resp.Header, resp.Body()), nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

func newResponse(h *fasthttp.ResponseHeader, body []byte) Response {
	r := Response{Status: h.StatusCode(), Body: body, StoredResponse: len(h.Peek("X-Stored-Answer")) > 0}
	var e errorBody
	if r.Status >= fasthttp.StatusBadRequest && json.Unmarshal(body, &e) == nil {
		r.Kind, r.NotExecuted = e.Error.Kind, e.Error.NotExecuted
	}
	return r
}

// StreamResult is a streamed response as the caller received it.
type StreamResult struct {
	Response
	Text   string
	Tokens int
	// Complete is true if the stream ended with the [DONE] event.
	Complete bool
	// ReportedTokens is the number of output tokens that the response reports.
	ReportedTokens int64
	// FirstTokenLatency is the time from the request to the first token, TokenGaps are the times between tokens.
	FirstTokenLatency time.Duration
	TokenGaps         []time.Duration
}

// Stream sends a model request and reads its stream. It calls onToken, if not nil, with the number of tokens so far, and
// disconnects if onToken returns false.
func (c *Client) Stream(path string, body []byte, onToken func(n int) bool) (StreamResult, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.fillRequest(req, fasthttp.MethodPost, path, body, nil)
	started := time.Now()
	conn, err := links.Open(c.Addr, connectTimeout)
	if err != nil {
		return StreamResult{}, errors.Wrap(err, path)
	}
	defer func() { _ = conn.Close() }()
	var h fasthttp.ResponseHeader
	if err := conn.RoundTrip(req, &h, time.Time{}); err != nil {
		return StreamResult{}, errors.Wrap(err, path)
	}
	bodyReader := http1.Body(conn.Reader, http1.BodyLength(&h, false))
	if h.StatusCode() != fasthttp.StatusOK {
		text, err := io.ReadAll(io.LimitReader(bodyReader, maxResponseBytes))
		return StreamResult{Response: newResponse(&h, text)}, errors.Wrap(err, path)
	}
	s := StreamResult{Response: newResponse(&h, nil)}
	return s, s.readEvents(bodyReader, started, onToken)
}

func (s *StreamResult) readEvents(r io.Reader, started time.Time, onToken func(n int) bool) error {
	lines := bufio.NewScanner(r)
	last := started
	for lines.Scan() {
		text, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(text) == "[DONE]" {
			s.Complete = true
			return nil
		}
		if !s.addEvent(text) {
			continue
		}
		now := time.Now()
		if s.Tokens == 1 {
			s.FirstTokenLatency = now.Sub(started)
		} else {
			s.TokenGaps = append(s.TokenGaps, now.Sub(last))
		}
		last = now
		if onToken != nil && !onToken(s.Tokens) {
			return nil
		}
	}
	return errors.Wrap(lines.Err(), "stream")
}

// addEvent adds an event to the result and reports whether the event was a token.
func (s *StreamResult) addEvent(text []byte) bool {
	var e struct {
		modelResponse
		errorBody
	}
	if json.Unmarshal(text, &e) != nil {
		return false
	}
	if e.Error.Kind != "" {
		s.Kind, s.NotExecuted = e.Error.Kind, e.Error.NotExecuted
		return false
	}
	if e.Usage != nil {
		s.ReportedTokens = int64(e.Usage.Completion)
	}
	if len(e.Choices) == 0 || e.Choices[0].FinishReason != nil {
		return false
	}
	choice := e.Choices[0]
	if choice.Delta != nil && choice.Delta.Content != nil {
		s.Text += *choice.Delta.Content
	}
	if choice.Text != nil {
		s.Text += *choice.Text
	}
	s.Tokens++
	return true
}
