package http1

import (
	"bufio"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxStaleResponses is the number of responses to earlier requests that are skipped on one connection, maxStaleBytes the
	// length of the body of each.
	maxStaleResponses = 2
	maxStaleBytes     = 1 << 20
)

// ErrOtherRequest means that all responses on a connection belong to other requests.
var ErrOtherRequest = errors.New("all responses belong to other requests")

// ReadOwnHeader reads the header of the response to a request, which own recognizes. It skips responses to earlier requests,
// which upstreams may send late; more may follow then, so the header forbids the reuse of the connection. Their bodies count
// against memory.
func ReadOwnHeader(
	br *bufio.Reader, h *fasthttp.ResponseHeader, own func(h *fasthttp.ResponseHeader) bool, memory *MemoryLease,
) error {
	for skipped := range maxStaleResponses + 1 {
		if err := ReadResponseHeader(br, h); err != nil {
			return err
		}
		if own(h) {
			if skipped > 0 {
				h.SetConnectionClose()
			}
			return nil
		}
		if _, err := ReadBody(br, BodyLength(h, false), maxStaleBytes, memory); err != nil {
			return err
		}
	}
	return ErrOtherRequest
}

// ReadOwnResponse reads the complete response to a request as ReadOwnHeader does, with a body of at most limit bytes.
func ReadOwnResponse(
	br *bufio.Reader, own func(h *fasthttp.ResponseHeader) bool, toHead bool, limit int, memory *MemoryLease,
) (*fasthttp.Response, error) {
	response := &fasthttp.Response{}
	if err := ReadOwnHeader(br, &response.Header, own, memory); err != nil {
		return response, err
	}
	body, err := ReadBody(br, BodyLength(&response.Header, toHead), limit, memory)
	response.SetBodyRaw(body)
	return response, err
}
