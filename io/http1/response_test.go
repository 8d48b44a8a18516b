package http1_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/io/faulty"
	"oleanderlever/io/http1"
)

// Guards against a response with a malformed header that is taken for one of the upstream: it can't be known what its other bytes
// mean.
func TestMalformedHeaderIsNoResponse(t *testing.T) {
	for _, m := range faulty.MalformedHeaders("X-A: b\r\n", "hello") {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"} {
			for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
				var h fasthttp.ResponseHeader
				err := http1.ReadResponseHeader(bufio.NewReader(read(strings.NewReader(before+m.Text))), &h)
				require.ErrorIs(t, err, http1.ErrMalformed, "%s after %q", m.Name, before)
			}
		}
	}
}

// What fasthttp rejects counts as malformed as well.
func TestHeaderThatCannotBeParsedIsMalformed(t *testing.T) {
	for _, lines := range []string{
		"X-A: b\x01\r\n", "X-A: b\rc\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: -5\r\n",
		"Content-Length: 5, 5\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		var h fasthttp.ResponseHeader
		br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + lines + "\r\nhello"))
		require.ErrorIs(t, http1.ReadResponseHeader(br, &h), http1.ErrMalformed, lines)
	}
}

// A malformed line fails at once: an upstream that keeps the connection open would otherwise hold its request until a timeout.
func TestMalformedLineFailsBeforeTheHeaderEnds(t *testing.T) {
	for _, m := range faulty.MalformedHeaders("", "hello") {
		client, server := net.Pipe()
		go func() { _, _ = io.WriteString(server, m.Text[:strings.Index(m.Text, "\r\n\r\n")+2]) }()
		require.NoError(t, client.SetDeadline(time.Now().Add(time.Minute)))
		var h fasthttp.ResponseHeader
		require.ErrorIs(t, http1.ReadResponseHeader(bufio.NewReader(client), &h), http1.ErrMalformed, m.Name)
		require.NoError(t, client.Close())
	}
}

// Headers that are unusual and valid, or that RFC 9112 lets a recipient accept, are read as they are meant.
func TestUnusualHeadersAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		status int
		value  string
	}{
		"no reason phrase":         {"HTTP/1.1 200\r\nX-A: b\r\n", 200, "b"},
		"empty reason phrase":      {"HTTP/1.1 404 \r\nX-A: b\r\n", 404, "b"},
		"long reason phrase":       {"HTTP/1.1 200 all is: well,\tcaf\xe9\r\nX-A: b\r\n", 200, "b"},
		"unassigned status":        {"HTTP/1.1 299 Fine\r\nX-A: b\r\n", 299, "b"},
		"highest status":           {"HTTP/1.1 599 Odd\r\nX-A: b\r\n", 599, "b"},
		"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nX-A: b\r\n", 200, "b"},
		"lower case":               {"HTTP/1.1 200 OK\r\nx-a: b\r\n", 200, "b"},
		"no value":                 {"HTTP/1.1 200 OK\r\nX-A:\r\n", 200, ""},
		"no space before value":    {"HTTP/1.1 200 OK\r\nX-A:b\r\n", 200, "b"},
		"tabs around value":        {"HTTP/1.1 200 OK\r\nX-A:\t b\t \r\n", 200, "b"},
		"colons and quotes":        {"HTTP/1.1 200 OK\r\nX-A: \"b: c\" : d\r\n", 200, "\"b: c\" : d"},
		"bytes above 127":          {"HTTP/1.1 200 OK\r\nX-A: \xe9\xff\r\n", 200, "\xe9\xff"},
		"folded line":              {"HTTP/1.1 200 OK\r\nX-A: b\r\n  c d\r\n", 200, "b c d"},
		"all characters of a name": {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: c\r\nX-A: b\r\n", 200, "b"},
		"bare line feeds":          {"HTTP/1.1 200 OK\nX-A: b\n", 200, "b"},
		"empty line first":         {"\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n", 200, "b"},
		"chunks and a length":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n", 200, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
				br := bufio.NewReader(read(strings.NewReader(c.head + "Content-Length: 5\r\n\r\nhello")))
				var h fasthttp.ResponseHeader
				require.NoError(t, http1.ReadResponseHeader(br, &h))
				require.Equal(t, c.status, h.StatusCode())
				require.Equal(t, c.value, string(h.Peek("X-A")))
				body, err := io.ReadAll(br)
				require.NoError(t, err)
				require.Equal(t, "hello", string(body))
			}
		})
	}
}
