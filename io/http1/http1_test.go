package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/io/http1"
)

func TestHeaderIsReadCompletely(t *testing.T) {
	long := "GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 10_000) + "\r\n\r\n"
	for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader} {
		r := http1.NewReader(read(strings.NewReader(long + "body")))
		raw, f := r.PeekHeader(16384)
		require.Nil(t, f)
		require.Equal(t, long, string(raw))
		var h fasthttp.RequestHeader
		require.NoError(t, h.Read(r.Buffered))
		rest, err := io.ReadAll(r.Buffered)
		require.NoError(t, err)
		require.Equal(t, "body", string(rest))
	}
	_, f := http1.NewReader(strings.NewReader(long)).PeekHeader(5000)
	require.NotNil(t, f, "header longer than the limit")
	_, f = http1.NewReader(strings.NewReader(long[:500])).PeekHeader(16384)
	require.NotNil(t, f, "header is incomplete")
}

func TestFraming(t *testing.T) {
	for text, ok := range map[string]bool{
		"GET /a b: HTTP/1.1\r\n\r\n":                                       true,
		"GET / HTTP/1.1\r\nA: b\r\nContent-Length: 4\r\n\r\n":              true,
		"GET / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n":             true,
		"GET / HTTP/1.1\nA: b\r\n\r\n":                                     false,
		"GET / HTTP/1.1\r\nA: b\rContent-Length: 4\r\n\r\n":                false,
		"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n":                               false,
		"GET / HTTP/1.1\r\n: b\r\n\r\n":                                    false,
		"GET / HTTP/1.1\r\ncontent-length: 1\r\nContent-Length: 1\r\n\r\n": false,
	} {
		require.Equal(t, ok, http1.ValidateFraming([]byte(text)) == nil, "%q", text)
	}
}

func readEvents(t *testing.T, header, body string) ([]string, error) {
	br := bufio.NewReader(strings.NewReader(header + "\r\n" + body))
	var h fasthttp.ResponseHeader
	require.NoError(t, h.Read(br))
	events := http1.NewEventReader(http1.Body(br, h.ContentLength()))
	var out []string
	for {
		e, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(e))
	}
}

func TestEventsOfBody(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, header, body string
		events             int
		complete           bool
	}{
		{"chunked", start + "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\n\n\r\n4\r\nid: \r\n3\r\n2\n\n\r\n0\r\n\r\n", 2, true},
		{"chunked, no last chunk", start + "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\n\n\r\n", 1, false},
		{"chunked, incomplete event", start + "Transfer-Encoding: chunked\r\n", "7\r\nid: 1\n\n\r\n4\r\nid: \r\n0\r\n\r\n", 1, false},
		{"length", start + "Content-Length: 7\r\n", "id: 1\n\n", 1, true},
		{"length, incomplete", start + "Content-Length: 14\r\n", "id: 1\n\n", 1, false},
		{"until close", start + "Connection: close\r\n", "id: 1\r\n\r\nid: 2\r\n\r\n", 2, true},
		{"empty", start + "Content-Length: 0\r\n", "", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			events, err := readEvents(t, c.header, c.body)
			require.Len(t, events, c.events)
			require.Equal(t, c.complete, err == io.EOF, "%v", err)
		})
	}
}

func TestIsEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 7\ndata: x\n\n": true, "data: HTTP/1.1 200 OK\n\n": true, ": comment\n\n": true, "\n": true, "data\n\n": true,
		"x-versions: 3\nid: 1\r\ndata: a\r\n\r\n": true, "event: end\nretry: 5\n\n": true,
		"HTTP/1.1 500 Internal Server Error\r\nDate: now\r\n\r\n": false, "error: no\n\n": false, "no\n\n": false,
		"{\"error\":\"no\"}\n\n": false, "id: 1\ndata: a\nHTTP/1.1 200 OK\n\n": false, "X-Versions: 3\n\n": false,
	} {
		require.Equal(t, want, http1.IsEvent([]byte(text)), "%q", text)
	}
}

func TestEventID(t *testing.T) {
	for text, want := range map[string]int64{"id: 7\ndata: x\n\n": 7, "data: x\nid:12\n\n": 12, "data: id: 5\n\n": -1, "id: x\n\n": -1} {
		id, ok := http1.EventID([]byte(text))
		if want < 0 {
			require.False(t, ok, text)
			continue
		}
		require.Equal(t, uint64(want), id, text)
	}
}

// A header that passes ValidateFraming and is parsed never has both a Content-Length and a Transfer-Encoding.
func FuzzHeader(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := http1.NewReader(bytes.NewReader(text))
		raw, failure := r.PeekHeader(16384)
		if failure != nil || http1.ValidateFraming(raw) != nil {
			return
		}
		var h fasthttp.RequestHeader
		if h.Read(r.Buffered) != nil {
			return
		}
		lower := strings.ToLower(string(raw))
		require.False(t, strings.Contains(lower, "\r\ncontent-length:") && strings.Contains(lower, "\r\ntransfer-encoding:"))
	})
}

// A chunked body is read with its trailer, so that the next response on the connection starts where it should. Anything
// that goes on beyond its limit is an error.
func TestBodyEndsWithItsTrailer(t *testing.T) {
	const limit = 10_000
	long := strings.Repeat("a", limit+1)
	for _, c := range []struct {
		name, text    string
		contentLength int
		want, rest    string
		complete      bool
	}{
		{"chunked", "3\r\nabc\r\n0\r\n\r\nnext", -1, "abc", "next", true},
		{"trailer", "3\r\nabc\r\n0\r\nX-A: b\r\n\r\nnext", -1, "abc", "next", true},
		{"end within the trailer", "3\r\nabc\r\n0\r\nX-A: b\r\n", -1, "", "", false},
		{"long trailer", "0\r\n" + strings.Repeat("X-A: b\r\n", limit), -1, "", "", false},
		{"long trailer line", "0\r\nX-A: " + long, -1, "", "", false},
		{"long chunk extension", "3;a=" + long, -1, "", "", false},
		{"chunks beyond the limit", strings.Repeat("1\r\na\r\n", limit+1) + "0\r\n\r\n", -1, "", "", false},
		{"length", "abcnext", 3, "abc", "next", true},
		{"length beyond the limit", long, limit + 1, "", "", false},
		{"length not reached", "ab", 3, "", "", false},
		{"empty", "next", 0, "", "next", true},
		{"until the end", "abc", -2, "abc", "", true},
		{"until the end, beyond the limit", long, -2, "", "", false},
		{"at the limit", long[1:], -2, long[1:], "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
				br := bufio.NewReader(read(strings.NewReader(c.text)))
				body, err := http1.ReadBody(br, c.contentLength, limit, http1.NewMemoryBudget(1<<20).Lease())
				require.Equal(t, c.complete, err == nil, "%v", err)
				if !c.complete {
					continue
				}
				require.Equal(t, c.want, string(body))
				rest, err := io.ReadAll(br)
				require.NoError(t, err)
				require.Equal(t, c.rest, string(rest))
			}
		})
	}
}

// A response without a body must not make the client wait for one, whatever length its header names.
func TestResponsesWithoutBody(t *testing.T) {
	for text, want := range map[string]int{
		"HTTP/1.1 204 No Content\r\n\r\n":                                 0,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n":          0,
		"HTTP/1.1 304 Not Modified\r\n\r\n":                               0,
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n":                    7,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":           -1,
		"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n": -2,
	} {
		var h fasthttp.ResponseHeader
		require.NoError(t, http1.ReadResponseHeader(bufio.NewReader(strings.NewReader(text)), &h))
		require.Equal(t, want, http1.BodyLength(&h, false), text)
		require.Zero(t, http1.BodyLength(&h, true), text)
	}
}

// An event of many short lines must not grow without limit.
func TestEventSizeIsLimited(t *testing.T) {
	for _, line := range []string{"data: a\n", ":\n", strings.Repeat("a", 5000)} {
		events := http1.NewEventReader(strings.NewReader(strings.Repeat(line, 1<<20/len(line))))
		_, err := events.Next()
		require.ErrorIs(t, err, http1.ErrTooLong)
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	for n, ok := range map[int]bool{0: true, 1: true, 8: true, 9: false, 10_000: false} {
		var h fasthttp.ResponseHeader
		err := http1.ReadResponseHeader(bufio.NewReader(strings.NewReader(strings.Repeat(interim, n)+final)), &h)
		require.Equal(t, ok, err == nil, "%d interim responses: %v", n, err)
		if ok {
			require.Equal(t, 404, h.StatusCode())
		}
	}
}

// A body is never longer than its limit, never takes more memory than its budget, and no input makes the reader fail in
// another way than by an error.
func FuzzBody(f *testing.F) {
	const limit, budget = 100, 10_000
	f.Add([]byte("3\r\nabc\r\n0\r\nX-A: b\r\n\r\n"), -1)
	f.Add([]byte("3;a=b\r\nabc\r\n0\r\n\r\n"), -1)
	f.Add([]byte("FFFFFFFFFFFFFFFF\r\n"), -1)
	f.Add([]byte("abc"), 3)
	f.Add([]byte("abc"), -2)
	f.Fuzz(func(t *testing.T, text []byte, contentLength int) {
		lease := http1.NewMemoryBudget(budget).Lease()
		body, err := http1.ReadBody(bufio.NewReader(bytes.NewReader(text)), contentLength, limit, lease)
		if err == nil {
			require.LessOrEqual(t, len(body), limit)
			require.True(t, contentLength < 0 || len(body) == contentLength)
		}
		lease.Release()
	})
}

// The events of a body are its bytes, without any loss, up to an incomplete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n"))
	f.Add([]byte(":\n\n\n\ndata"))
	f.Fuzz(func(t *testing.T, text []byte) {
		events := http1.NewEventReader(bytes.NewReader(text))
		var all []byte
		for {
			e, err := events.Next()
			if err != nil {
				require.True(t, bytes.HasPrefix(text, all))
				require.True(t, err != io.EOF || len(all) == len(text))
				return
			}
			all = append(all, e...)
		}
	})
}
