package faulty

import (
	"net"
	"strings"
	"time"
)

// Endless is a response that goes on until the client closes the connection.
type Endless struct {
	Name string
	// Start is sent once, then Repeat again and again.
	Start, Repeat string
	// Pause is the time between two repeats; without it, a block of many is sent at once.
	Pause time.Duration
	// Complete is true if Start is a complete response, to which Repeat does not belong.
	Complete bool
}

const (
	slow       = 50 * time.Millisecond
	blockBytes = 32 << 10
	chunkBytes = 4096
	statusLine = "HTTP/1.1 200 OK\r\n"
)

// Responses returns endless responses of a plain service. headers are added to each header that ends, with their line
// ends.
func Responses(headers string) []Endless {
	head := statusLine + headers
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []Endless{
		{Name: "status line", Start: "HTTP/1.1 200 ", Repeat: "O"},
		{Name: "header line", Start: head + "X-A: ", Repeat: "a"},
		{Name: "header lines", Start: head, Repeat: "X-A: b\r\n"},
		{Name: "slow header", Start: head, Repeat: "X-A: b\r\n", Pause: slow},
		{Name: "empty lines before the status line", Repeat: "\r\n"},
		{Name: "interim responses", Repeat: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		{Name: "slow interim responses", Repeat: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", Pause: slow},
		{Name: "chunk size", Start: chunked, Repeat: "0"},
		{Name: "chunk extension", Start: chunked + "5;a=", Repeat: "b"},
		{Name: "slow chunk extension", Start: chunked + "5;a=", Repeat: "b", Pause: slow},
		{Name: "chunks", Start: chunked, Repeat: "1000\r\n" + strings.Repeat("a", chunkBytes) + "\r\n"},
		{Name: "small chunks", Start: chunked, Repeat: "1\r\na\r\n"},
		{Name: "trailer", Start: chunked + "0\r\n", Repeat: "X-A: b\r\n"},
		{Name: "trailer line", Start: chunked + "0\r\nX-A: ", Repeat: "a"},
		{Name: "body without a length", Start: head + "\r\n", Repeat: "a"},
		{Name: "slow body without a length", Start: head + "\r\n", Repeat: "a", Pause: slow},
		{Name: "slow body", Start: head + "Content-Length: 1000000\r\n\r\n", Repeat: "a", Pause: slow},
		{Name: "body of a terabyte", Start: head + "Content-Length: 1099511627776\r\n\r\n", Repeat: "a"},
		{Name: "body of an error response", Start: "HTTP/1.1 500 Internal Server Error\r\n" + headers + "\r\n", Repeat: "a"},
		{Name: "body beyond its length", Start: head + "Content-Length: 5\r\n\r\nhello", Repeat: "a", Complete: true},
		{Name: "slow bytes after the response", Start: head + "Content-Length: 5\r\n\r\nhello", Repeat: "a", Pause: slow, Complete: true},
	}
}

// Streams returns endless streams of server-sent events after a first one.
func Streams(headers string) []Endless {
	head := statusLine + headers + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	return []Endless{
		{Name: "event line", Start: head + "data: ", Repeat: "a"},
		{Name: "lines of one event", Start: head, Repeat: "data: a\n"},
		{Name: "slow lines of one event", Start: head, Repeat: "data: a\n", Pause: slow},
		{Name: "comments", Start: head, Repeat: ":\n\n"},
		{Name: "slow comments", Start: head, Repeat: ":\n\n", Pause: slow},
		{Name: "empty events", Start: head, Repeat: "\n"},
		{Name: "repeated events", Start: head, Repeat: "id: 1\ndata: a\n\n"},
		{Name: "slow repeated events", Start: head, Repeat: "id: 1\ndata: a\n\n", Pause: slow},
	}
}

// Send sends the response until the client closes the connection, and returns the number of bytes that it accepted. The
// first repeat comes with the start: bytes that arrive later on an idle connection may be taken for the start of the next
// response, which no client can tell from them.
func (e Endless) Send(conn net.Conn) int {
	block := e.Repeat
	if e.Pause == 0 {
		block = strings.Repeat(e.Repeat, max(1, blockBytes/len(e.Repeat)))
	}
	sent, err := conn.Write([]byte(e.Start + e.Repeat))
	for err == nil {
		time.Sleep(e.Pause)
		var n int
		n, err = conn.Write([]byte(block))
		sent += n
	}
	return sent
}
