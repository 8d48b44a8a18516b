package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const apiKey = "i9n73hh2b9wu3fexd9dn"

// channel is a client's open channel to a front machine.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// bytesPerSecond limits how fast the client reads; zero means no limit.
	bytesPerSecond int
}

// openChannel opens a channel. A client with a limited rate has a small receive buffer, as the platform's links have.
func openChannel(m *machine, bytesPerSecond int) (*channel, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, portFront), time.Second)
	if err != nil {
		return nil, err
	}
	c := &channel{conn: conn, bytesPerSecond: bytesPerSecond}
	if bytesPerSecond > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	c.reader = bufio.NewReaderSize(&pacedReader{conn: conn, rate: bytesPerSecond}, 16<<10)
	return c, nil
}

// pacedReader reads at a limited rate, steadily.
type pacedReader struct {
	conn net.Conn
	rate int
	// next is when the line has room for the next bytes.
	next time.Time
}

// pacedReadBytes is the most that a paced reader takes at once.
const pacedReadBytes = 16 << 10

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.rate == 0 {
		return p.conn.Read(b)
	}
	time.Sleep(time.Until(p.next))
	n, err := p.conn.Read(b[:min(len(b), pacedReadBytes)])
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	return n, err
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	// headers are further header lines.
	headers string
	body    string
	budget  time.Duration
	// patience is how long the client waits for the answer to begin; zero means for its whole budget.
	patience time.Duration
}

// answer is what the client saw of the answer to a request. err is set if the channel ended before the answer was complete.
type answer struct {
	status int
	seal   string
	bytes  int
	err    error
	took   time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on the channel and reads its answer.
func (c *channel) send(r request) answer {
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(cmp.Or(r.patience, r.budget)))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		r.method, r.path, r.host, r.id, r.budget.Milliseconds(), apiKey)
	head += r.headers
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	var a answer
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+r.body); a.err != nil {
		return a
	}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.reader, nil); a.err != nil {
		a.took = time.Since(start)
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Response-Seal")
	_ = c.conn.SetDeadline(start.Add(r.budget))
	var n int64
	n, a.err = io.Copy(io.Discard, resp.Body)
	a.bytes, a.took = int(n), time.Since(start)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes of the body, then %v, after %.3f s", a.status, a.bytes, a.err, a.took.Seconds())
	}
	return fmt.Sprintf("status %d, whole body of %d bytes, after %.3f s", a.status, a.bytes, a.took.Seconds())
}

func (c *channel) close() { _ = c.conn.Close() }
