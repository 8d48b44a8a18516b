package upstream

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/http1"
)

// The headers in which an upstream says something of itself, in any response; Retry-After counts with status 503.
const (
	HeaderRateLimit = "X-Rate-Limit"
	HeaderLeaving   = "X-Leaving"
)

// Statement returns what an upstream says of itself in the header of a response that has just arrived.
func Statement(id core.UpstreamID, h *fasthttp.ResponseHeader) *core.UpstreamStatement {
	return http1.StatementHeaders{RateLimit: HeaderRateLimit, Leaving: HeaderLeaving}.Statement(id, h)
}

// Said is what a stand-in says of itself in its responses.
type Said struct {
	// RateLimit is a number of requests per second; zero names no limit.
	RateLimit float64 `json:"rateLimit"`
	Leaving   bool    `json:"sayLeaving"`
	// RetryAfter is a number of seconds that is sent with status 503; zero sends none.
	RetryAfter float64 `json:"retryAfter"`
}

// SetHeaders adds the statements to a response whose status is set.
func (s *Said) SetHeaders(h *fasthttp.ResponseHeader) {
	if s.RateLimit > 0 {
		h.Set(HeaderRateLimit, strconv.FormatFloat(s.RateLimit, 'g', -1, 64))
	}
	if s.Leaving {
		h.Set(HeaderLeaving, "1")
	}
	if s.RetryAfter > 0 && h.StatusCode() == fasthttp.StatusServiceUnavailable {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(s.RetryAfter, 'g', -1, 64))
	}
}
