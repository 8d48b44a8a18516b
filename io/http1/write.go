package http1

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHopHeaders apply to one connection, so they are not forwarded with a response.
var hopByHopHeaders = map[string]bool{
	fasthttp.HeaderConnection: true, fasthttp.HeaderKeepAlive: true, "Proxy-Connection": true, "Te": true,
	fasthttp.HeaderTrailer: true, fasthttp.HeaderTransferEncoding: true, fasthttp.HeaderUpgrade: true,
	fasthttp.HeaderContentLength: true,
}

// ConnectionHeaders returns the normalized names in a Connection header; these headers must not be forwarded.
func ConnectionHeaders(value []byte) map[string]bool {
	if len(value) == 0 {
		return nil
	}
	names := map[string]bool{}
	for name := range strings.SplitSeq(string(value), ",") {
		names[string(fasthttp.AppendNormalizedHeaderKey(nil, strings.TrimSpace(name)))] = true
	}
	return names
}

// AppendHeader appends a header line.
func AppendHeader(out []byte, name string, value []byte) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendStatusLine appends the status line of a response.
func AppendStatusLine(out []byte, status int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(status)...)
	return append(out, "\r\n"...)
}

// AppendResponseHeaders appends the status line and the end-to-end headers of a response that is forwarded.
func AppendResponseHeaders(out []byte, h *fasthttp.ResponseHeader) []byte {
	out = AppendStatusLine(out, h.StatusCode())
	connHeaders := ConnectionHeaders(h.Peek(fasthttp.HeaderConnection))
	for k, v := range h.All() {
		if !hopByHopHeaders[string(k)] && !connHeaders[string(k)] {
			out = AppendHeader(out, string(k), v)
		}
	}
	return out
}

// AppendHeaderEnd appends the end of a response header; with closeConn, the connection is closed after the response.
func AppendHeaderEnd(out []byte, closeConn bool) []byte {
	if closeConn {
		out = AppendHeader(out, fasthttp.HeaderConnection, []byte("close"))
	}
	return append(out, "\r\n"...)
}

// AppendBody appends the length, the end of the header and the body of a response.
func AppendBody(out, body []byte, closeConn bool) []byte {
	out = AppendHeader(out, fasthttp.HeaderContentLength, strconv.AppendInt(nil, int64(len(body)), 10))
	return append(AppendHeaderEnd(out, closeConn), body...)
}
