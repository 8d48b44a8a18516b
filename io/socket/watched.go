package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// readAhead bounds what is read from a caller before the server asks for it.
const readAhead = 64 << 10

// WatchedListener wraps the connections that it accepts.
type WatchedListener struct {
	net.Listener
	// Stall is how long the other end may take none of what is written before the connection fails.
	Stall time.Duration
}

// Accept returns a connection that notices when its caller goes.
func (l WatchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newWatched(conn, l.Stall), nil
}

// Watched reads ahead of its server, since a server does not look at a connection while it computes an answer.
// Bytes of a pipelined request stay in the buffer, so none is lost.
type Watched struct {
	net.Conn
	// Gone is closed when the other end has closed the connection or it broke.
	Gone chan struct{}

	mu       sync.Mutex
	buf      []byte
	err      error
	deadline time.Time
	// filled and drained wake the reader and the goroutine that reads ahead.
	filled  chan struct{}
	drained chan struct{}
	closed  sync.Once
	stall   time.Duration
}

func newWatched(conn net.Conn, stall time.Duration) *Watched {
	c := &Watched{Conn: conn, stall: stall, Gone: make(chan struct{}), filled: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
	go c.readAhead()
	return c
}

func (c *Watched) readAhead() {
	block := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(block)
		c.mu.Lock()
		c.buf = append(c.buf, block[:n]...)
		if err != nil {
			c.err = err
		}
		full := len(c.buf) >= readAhead
		c.mu.Unlock()
		wake(c.filled)
		if err != nil {
			close(c.Gone)
			return
		}
		for full {
			<-c.drained
			c.mu.Lock()
			full = len(c.buf) >= readAhead && c.err == nil
			c.mu.Unlock()
		}
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Read returns what was read ahead, or waits for it until the deadline.
func (c *Watched) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		n := copy(b, c.buf)
		c.buf = c.buf[n:]
		err, deadline := c.err, c.deadline
		c.mu.Unlock()
		if n > 0 {
			wake(c.drained)
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		if !c.wait(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// wait returns false when the deadline comes before the next bytes.
func (c *Watched) wait(deadline time.Time) bool {
	if deadline.IsZero() {
		<-c.filled
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.filled:
		return true
	case <-timer.C:
		return false
	}
}

// SetReadDeadline bounds the next reads.
func (c *Watched) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	wake(c.filled)
	return nil
}

// Write gives each write its own deadline: a long stream is fine as long as the caller takes it.
func (c *Watched) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline does nothing, since Write sets its own.
func (c *Watched) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline bounds the next reads.
func (c *Watched) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close closes the connection and ends the reading ahead.
func (c *Watched) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.mu.Lock()
		if c.err == nil {
			c.err = io.ErrClosedPipe
		}
		c.mu.Unlock()
		wake(c.drained)
		wake(c.filled)
	})
	return err
}
