package http1

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses limits the 1xx responses before a final one.
const maxInterimResponses = 8

// ErrMalformed means that a response is not in the syntax of HTTP/1.1 (RFC 9110 and RFC 9112).
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	rejected.Add("malformed", 1)
	return errors.Wrapf(ErrMalformed, format, args...)
}

// ReadResponseHeader reads the header of a final response and skips interim ones. The size of the reader's buffer limits
// each header. A header that is not in the syntax of HTTP/1.1 is an ErrMalformed error.
func ReadResponseHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := awaitResponseHeader(br); err != nil {
			return errors.Wrap(err, "read header")
		}
		if err := h.Read(br); err != nil {
			return malformed("parse header: %v", err)
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	rejected.Add("interimResponses", 1)
	return errors.Newf("more than %d interim responses", maxInterimResponses)
}

// awaitResponseHeader waits until a complete header is buffered, and consumes nothing. The lines are checked as they arrive,
// so that bytes that are no response fail without a wait for the rest of a header.
func awaitResponseHeader(br *bufio.Reader) error {
	for minBytes := 1; ; {
		b, readErr := br.Peek(max(minBytes, br.Buffered()))
		complete, err := checkResponseHeader(b)
		switch {
		case err != nil:
			return err
		case complete:
			return nil
		case errors.Is(readErr, bufio.ErrBufferFull):
			return tooLong("header", br.Size())
		case errors.Is(readErr, io.EOF) && len(b) > 0:
			return io.ErrUnexpectedEOF
		case readErr != nil:
			return readErr
		}
		minBytes = len(b) + 1
	}
}

// checkResponseHeader checks the complete lines at the start of a response and reports whether they are a complete header.
// fasthttp repairs or ignores what is malformed in these bytes, so the parsed header doesn't show it.
func checkResponseHeader(b []byte) (complete bool, err error) {
	// fasthttp skips empty lines before the status line.
	statusLine, fields, ended := bytes.Cut(bytes.TrimLeft(b, "\r\n"), []byte("\n"))
	if !ended {
		return false, nil
	}
	statusLine = bytes.TrimSuffix(statusLine, []byte("\r"))
	if err := checkStatusLine(statusLine); err != nil {
		return false, err
	}
	decodesChunks := bytes.HasPrefix(statusLine, chunkedVersion)
	first := true
	for line := range bytes.Lines(fields) {
		text, ended := bytes.CutSuffix(line, []byte("\n"))
		if !ended {
			return false, nil
		}
		text = bytes.TrimSuffix(text, []byte("\r"))
		if len(text) == 0 {
			return true, nil
		}
		// A line that begins with a blank continues the field before it.
		if folded := !first && (text[0] == ' ' || text[0] == '\t'); !folded {
			if err := checkField(text, decodesChunks); err != nil {
				return false, err
			}
		}
		first = false
	}
	return false, nil
}

// chunkedVersion is the version whose chunks fasthttp decodes. In others it ignores a transfer coding and the body ends with the
// connection, so that the chunks would be part of the body.
var chunkedVersion = []byte("HTTP/1.1 ")

// switchingProtocols is the status of a response after which the connection has another protocol. Requests never ask for one.
const switchingProtocols = "101"

// checkStatusLine returns an ErrMalformed error if a status line has a version other than HTTP/1, a status code outside 100 to
// 599 or a control byte, such as a CR that hides a header line, or switches protocols. fasthttp takes status 000 for 200.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	isValid := bytes.HasPrefix(version, []byte("HTTP/1.")) && len(code) == 3 && '1' <= code[0] && code[0] <= '5'
	if !isValid || bytes.ContainsFunc(line, isControl) {
		return malformed("status line %.40q", line)
	}
	if string(code) == switchingProtocols {
		return malformed("status 101 without a request to switch protocols")
	}
	return nil
}

func isControl(c rune) bool { return (c < ' ' && c != '\t') || c == 0x7f }

// checkField returns an ErrMalformed error if a header line doesn't begin with the name of a field and a colon, or names a
// transfer coding though chunks are not decoded. Of a name with blanks, fasthttp drops those at its end and keeps the others.
func checkField(line []byte, decodesChunks bool) error {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return malformed("header line %.40q has no valid field name", line)
	}
	if !decodesChunks && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
		return malformed("transfer coding in a version other than HTTP/1.1")
	}
	return nil
}

// isToken reports whether a name is a token, as the names of fields must be (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(c rune) bool {
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}
