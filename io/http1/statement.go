package http1

import (
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/clock"
)

// StatementHeaders are the names of the headers in which an upstream says something of itself; ColdMillis is empty if the
// protocol has no such header.
type StatementHeaders struct{ RateLimit, Leaving, ColdMillis string }

// Statement returns what an upstream says of itself in the header of a response that has just arrived. Retry-After counts with
// status 503.
func (n StatementHeaders) Statement(id core.UpstreamID, h *fasthttp.ResponseHeader) *core.UpstreamStatement {
	values := core.StatementValues{RateLimit: headerValues(h, n.RateLimit), Leaving: headerValues(h, n.Leaving)}
	if n.ColdMillis != "" {
		values.ColdMillis = headerValues(h, n.ColdMillis)
	}
	if h.StatusCode() == fasthttp.StatusServiceUnavailable {
		values.RetryAfter = headerValues(h, fasthttp.HeaderRetryAfter)
	}
	return core.NewUpstreamStatement(id, clock.Now(), values)
}

// headerValues returns all values of a header.
func headerValues(h *fasthttp.ResponseHeader, name string) []string {
	var values []string
	for _, v := range h.PeekAll(name) {
		values = append(values, string(v))
	}
	return values
}
