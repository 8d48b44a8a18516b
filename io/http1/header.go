package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
)

const (
	initialBufferSize = 4096
	// maxHeaderBytes limits the size of a header if the configuration sets no limit.
	maxHeaderBytes = 64 << 10
)

var headerEnd = []byte("\r\n\r\n")

// Reader reads request headers from a connection.
type Reader struct {
	conn io.Reader
	// Buffered reads the connection; PeekHeader may replace it to buffer a long header.
	Buffered *bufio.Reader
}

// NewReader returns a Reader of a connection.
func NewReader(conn io.Reader) *Reader {
	return &Reader{conn: conn, Buffered: bufio.NewReaderSize(conn, initialBufferSize)}
}

// PeekHeader waits for a complete header and returns its bytes without consuming them. It returns a KindBadRequest
// failure if the header is longer than limit bytes or cannot be read. Framing errors must be detected in these bytes,
// because fasthttp repairs malformed headers when it parses them.
func (r *Reader) PeekHeader(limit int) ([]byte, *core.Failure) {
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	for minBytes := 1; ; {
		b, err := r.Buffered.Peek(max(minBytes, r.Buffered.Buffered()))
		if i := bytes.Index(b, headerEnd); i >= 0 {
			return b[:i+len(headerEnd)], nil
		}
		switch {
		case len(b) > limit:
			return nil, core.Fail(core.KindBadRequest, "the header is longer than %d bytes", limit)
		case errors.Is(err, bufio.ErrBufferFull):
			r.growBuffer(limit, b)
		case err != nil:
			return nil, core.Fail(core.KindBadRequest, "the header could not be read: %v", err)
		}
		minBytes = len(b) + 1
	}
}

// growBuffer replaces the buffer with one that has room for a header of limit bytes.
func (r *Reader) growBuffer(limit int, buffered []byte) {
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), r.conn)
	r.Buffered = bufio.NewReaderSize(rest, limit+initialBufferSize)
}

// ValidateFraming returns a KindBadRequest failure if two servers could disagree on where a line of the header or the
// body ends.
func ValidateFraming(raw []byte) *core.Failure {
	lengths, encodings := 0, 0
	first := true
	for line := range bytes.Lines(raw) {
		text, terminated := bytes.CutSuffix(line, []byte("\r\n"))
		if !terminated || bytes.ContainsAny(text, "\r\x00") {
			return core.Fail(core.KindBadRequest, "a header line contains CR or NUL, or does not end with CRLF")
		}
		if first {
			first = false
			continue
		}
		name, value, found := bytes.Cut(text, []byte(":"))
		if len(text) > 0 && (text[0] == ' ' || text[0] == '\t') {
			return core.Fail(core.KindBadRequest, "folded header lines are not supported")
		}
		switch {
		case !found:
		case !isToken(name):
			return core.Fail(core.KindBadRequest, "the header name %.40q is not valid", name)
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return core.Fail(core.KindBadRequest, "transfer coding %q is not supported", value)
			}
		}
	}
	if lengths+encodings > 1 {
		return core.Fail(core.KindBadRequest, "the header has more than one Content-Length or Transfer-Encoding")
	}
	return nil
}
