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
	readSize = 4096
	// maxHeaderBytes bounds a header where no configuration does.
	maxHeaderBytes = 64 << 10
)

var headerEnd = []byte("\r\n\r\n")

// Reader reads requests from a connection.
type Reader struct {
	conn io.Reader
	// Buffered is where requests are read from; a long header may replace it.
	Buffered *bufio.Reader
}

// NewReader returns a Reader of a connection.
func NewReader(conn io.Reader) *Reader {
	return &Reader{conn: conn, Buffered: bufio.NewReaderSize(conn, readSize)}
}

// Header waits for a whole header and returns its bytes, which stay to be read. The library that parses it mends what it
// finds, so doubtful bytes are only seen here.
func (r *Reader) Header(limit int) ([]byte, *core.Failure) {
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	for want := 1; ; {
		b, err := r.Buffered.Peek(max(want, r.Buffered.Buffered()))
		if i := bytes.Index(b, headerEnd); i >= 0 {
			return b[:i+len(headerEnd)], nil
		}
		switch {
		case len(b) > limit:
			return nil, core.Fail(core.KindBadRequest, "the header is longer than %d bytes", limit)
		case errors.Is(err, bufio.ErrBufferFull):
			r.grow(limit, b)
		case err != nil:
			return nil, core.Fail(core.KindBadRequest, "the header could not be read: %v", err)
		}
		want = len(b) + 1
	}
}

// grow goes on with a buffer that holds the longest header.
func (r *Reader) grow(limit int, held []byte) {
	whole := io.MultiReader(bytes.NewReader(bytes.Clone(held)), r.conn)
	r.Buffered = bufio.NewReaderSize(whole, limit+readSize)
}

// CheckFraming refuses a header whose lines, or the length of whose body, two servers could read differently.
func CheckFraming(raw []byte) *core.Failure {
	lengths, encodings := 0, 0
	first := true
	for line := range bytes.Lines(raw) {
		text, whole := bytes.CutSuffix(line, []byte("\r\n"))
		if !whole || bytes.ContainsAny(text, "\r\x00") {
			return core.Fail(core.KindBadRequest, "a line of the header has no proper end")
		}
		if first {
			first = false
			continue
		}
		name, value, found := bytes.Cut(text, []byte(":"))
		if len(text) > 0 && (text[0] == ' ' || text[0] == '\t') {
			return core.Fail(core.KindBadRequest, "a line of the header is folded")
		}
		switch {
		case !found:
		case len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return core.Fail(core.KindBadRequest, "a header has a blank in its name")
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
		return core.Fail(core.KindBadRequest, "the length of the body is in doubt")
	}
	return nil
}
