package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Client is a caller, for the demo, the load tool and tests.
type Client struct {
	Addr netip.AddrPort
	Key  string
	// Timeout bounds a whole answer.
	Timeout time.Duration
}

// Header is one header of a request.
type Header struct{ Name, Value string }

// Answer is a whole answer.
type Answer struct {
	Status int
	Body   []byte
	Stored bool
	// Kind and NotRun are those of a refusal.
	Kind   string
	NotRun bool
}

const clientTimeout = 2 * time.Minute

func (c *Client) host(stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: c.Addr.String(), StreamResponseBody: stream, MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) },
	}
}

func (c *Client) request(req *fasthttp.Request, method, path string, body []byte, headers []Header) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetHost(c.Addr.String())
	if len(body) > 0 {
		req.Header.SetContentType(contentJSON)
		req.SetBody(body)
	}
	if c.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Key)
	}
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
}

// Do sends a request and reads the whole answer.
func (c *Client) Do(method, path string, body []byte, headers ...Header) (Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.request(req, method, path, body, headers)
	h := c.host(false)
	defer h.CloseIdleConnections()
	if err := h.DoTimeout(req, resp, c.timeout()); err != nil {
		return Answer{}, errors.Wrap(err, path)
	}
	return newAnswer(resp, bytes.Clone(resp.Body())), nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return clientTimeout
}

func newAnswer(resp *fasthttp.Response, body []byte) Answer {
	a := Answer{Status: resp.StatusCode(), Body: body, Stored: len(resp.Header.Peek("X-Stored-Answer")) > 0}
	var e errorBody
	if a.Status >= fasthttp.StatusBadRequest && json.Unmarshal(body, &e) == nil {
		a.Kind, a.NotRun = e.Error.Kind, e.Error.NotRun
	}
	return a
}

// Stream is a streamed answer as the caller saw it.
type Stream struct {
	Answer
	Text   string
	Tokens int
	// Whole is true where the stream came to its marked end.
	Whole bool
	Usage int64
	// First is the time to the first token, Gaps are the times between tokens.
	First time.Duration
	Gaps  []time.Duration
}

// Stream sends a model request and reads its stream; onToken may be nil, and returning false from it hangs up.
func (c *Client) Stream(path string, body []byte, onToken func(n int) bool) (Stream, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.request(req, fasthttp.MethodPost, path, body, nil)
	h := c.host(true)
	defer h.CloseIdleConnections()
	started := time.Now()
	if err := h.Do(req, resp); err != nil {
		return Stream{}, errors.Wrap(err, path)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(resp.BodyStream())
		return Stream{Answer: newAnswer(resp, text)}, nil
	}
	s := Stream{Answer: newAnswer(resp, nil)}
	return s, s.read(resp.BodyStream(), started, onToken)
}

func (s *Stream) read(r io.Reader, started time.Time, onToken func(n int) bool) error {
	lines := bufio.NewScanner(r)
	last := started
	for lines.Scan() {
		text, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(text) == "[DONE]" {
			s.Whole = true
			return nil
		}
		if !s.take(text) {
			continue
		}
		now := time.Now()
		if s.Tokens == 1 {
			s.First = now.Sub(started)
		} else {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
		if onToken != nil && !onToken(s.Tokens) {
			return nil
		}
	}
	return errors.Wrap(lines.Err(), "stream")
}

// take reads one event and reports whether it was a token.
func (s *Stream) take(text []byte) bool {
	var e struct {
		modelAnswer
		errorBody
	}
	if json.Unmarshal(text, &e) != nil {
		return false
	}
	if e.Error.Kind != "" {
		s.Kind, s.NotRun = e.Error.Kind, e.Error.NotRun
		return false
	}
	if e.Usage != nil {
		s.Usage = int64(e.Usage.Completion)
	}
	if len(e.Choices) == 0 || e.Choices[0].Finish != nil {
		return false
	}
	c := e.Choices[0]
	if c.Delta != nil && c.Delta.Content != nil {
		s.Text += *c.Delta.Content
	}
	if c.Text != nil {
		s.Text += *c.Text
	}
	s.Tokens++
	return true
}
