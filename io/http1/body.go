package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
)

const (
	// maxTrailerBytes limits the trailer of a chunked body.
	maxTrailerBytes = 4096
	// firstReadBytes is the size of the first buffer of a body of unknown length, maxFirstReadBytes that of any body. The
	// buffer doubles as bytes arrive, since the announced length may be false.
	firstReadBytes    = 4096
	maxFirstReadBytes = 64 << 10
	// chunkedLength is fasthttp's content length of a chunked body; below it, a body ends with its connection.
	chunkedLength = -1
)

// BodyLength returns the content length of a response as Body takes it. Responses to HEAD and those with status 204 or 304
// have no body, whatever their header says.
func BodyLength(h *fasthttp.ResponseHeader, toHead bool) int {
	switch status := h.StatusCode(); {
	case toHead, status < fasthttp.StatusOK, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return 0
	}
	return h.ContentLength()
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that its end is the end of the
// connection.
func EndsWithConnection(h *fasthttp.ResponseHeader) bool { return h.ContentLength() < chunkedLength }

// Body returns a reader of the body that follows a header, including its trailer. contentLength is that of fasthttp's
// header. If the end is marked, the reader returns io.ErrUnexpectedEOF for a body that ends early.
func Body(br *bufio.Reader, contentLength int) io.Reader {
	switch {
	case contentLength >= 0:
		return &exactReader{r: br, remaining: contentLength}
	case contentLength == chunkedLength:
		return &chunkedReader{buffered: br, chunks: httputil.NewChunkedReader(br)}
	}
	return br
}

// ReadBody reads a complete body of at most limit bytes, which count against the lease.
func ReadBody(br *bufio.Reader, contentLength, limit int, lease *MemoryLease) ([]byte, error) {
	if contentLength > limit {
		return nil, tooLong("body", limit)
	}
	if contentLength < 0 {
		return ReadAll(Body(br, contentLength), limit, lease)
	}
	return readAll(Body(br, contentLength), min(contentLength+1, maxFirstReadBytes), contentLength, lease)
}

// ReadRequestBody reads the body of a request whose header has been read, and sets it without a copy. The failure says
// whether the body is too long, malformed or without room in the host's memory.
func (r *Reader) ReadRequestBody(req *fasthttp.Request, limit int, lease *MemoryLease) *core.Failure {
	length := req.Header.ContentLength()
	if length < chunkedLength {
		// A request has no body that ends with its connection.
		return nil
	}
	body, err := ReadBody(r.Buffered, length, limit, lease)
	if err != nil {
		return BodyFailure(err, limit)
	}
	req.SetBodyRaw(body)
	return nil
}

// BodyFailure returns the failure for a caller whose body could not be read with the given limit.
func BodyFailure(err error, limit int) *core.Failure {
	switch {
	case errors.Is(err, ErrTooLong):
		return core.Fail(core.KindBodyTooLarge, "the body is longer than %d bytes", limit)
	case errors.Is(err, ErrNoMemory):
		return core.Fail(core.KindOverloaded, "%v", err)
	}
	return core.Fail(core.KindBadRequest, "the body could not be read: %v", err)
}

// ReadAll reads at most limit bytes up to io.EOF, which count against the lease.
func ReadAll(r io.Reader, limit int, lease *MemoryLease) ([]byte, error) {
	return readAll(r, firstReadBytes, limit, lease)
}

// readAll implements ReadAll with a first buffer of the given size.
func readAll(r io.Reader, firstSize, limit int, lease *MemoryLease) ([]byte, error) {
	var out []byte
	for {
		if len(out) == cap(out) {
			// One byte more than the limit has room for the end, or for a byte too many.
			grown := min(max(firstSize, 2*cap(out)), limit+1)
			// The old buffer counts on: it is in memory until the next garbage collection.
			if err := lease.grow(grown); err != nil {
				return nil, err
			}
			out = append(make([]byte, 0, grown), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case len(out) > limit:
			return nil, tooLong("body", limit)
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		}
	}
}

// exactReader reads a body of known length and returns io.ErrUnexpectedEOF if it ends early.
type exactReader struct {
	r         io.Reader
	remaining int
}

// Read reads from the remaining body.
func (e *exactReader) Read(b []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(b[:min(len(b), e.remaining)])
	e.remaining -= n
	if errors.Is(err, io.EOF) && e.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body and its trailer, so that the connection is at the start of the next message.
type chunkedReader struct {
	buffered *bufio.Reader
	chunks   io.Reader
	// end is the result of all reads after the last chunk.
	end error
}

// Read reads from the chunks. After the last one it skips the trailer and returns io.EOF.
func (c *chunkedReader) Read(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.chunks.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.skipTrailer()
	}
	c.end = err
	return n, err
}

func (c *chunkedReader) skipTrailer() error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := c.buffered.ReadSlice('\n')
		total += len(line)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return tooLong("trailer", maxTrailerBytes)
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return io.EOF
		}
	}
	return tooLong("trailer", maxTrailerBytes)
}
