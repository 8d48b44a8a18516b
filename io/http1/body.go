package http1

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Body returns the body that follows an answer's header; an early end of one whose length is known is an error.
func Body(br *bufio.Reader, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case n >= 0:
		return &exactReader{r: br, left: n}
	case n == -1:
		return httputil.NewChunkedReader(br)
	}
	return br
}

// exactReader reads a body of known length, whose early end is an error.
type exactReader struct {
	r    io.Reader
	left int
}

// Read reads what is left of the body.
func (e *exactReader) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(b[:min(len(b), e.left)])
	e.left -= n
	if errors.Is(err, io.EOF) && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
