package caller

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// readAhead bounds what is read from a caller before the server asks for it.
const readAhead = 64 << 10

// watchedListener wraps the connections that it accepts.
type watchedListener struct{ net.Listener }

// Accept returns a connection that notices when its caller goes.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newWatchedConn(conn), nil
}

// watchedConn reads ahead of the HTTP server, since the server does not look at a connection while a handler runs.
// Bytes of a pipelined request stay in the buffer, so none is lost.
type watchedConn struct {
	net.Conn
	gone chan struct{}

	mu       sync.Mutex
	buf      []byte
	err      error
	deadline time.Time
	// filled and drained wake the reader and the goroutine that reads ahead.
	filled  chan struct{}
	drained chan struct{}
	closed  sync.Once
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{Conn: conn, gone: make(chan struct{}), filled: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
	go c.readAhead()
	return c
}

func (c *watchedConn) readAhead() {
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
			close(c.gone)
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
func (c *watchedConn) Read(b []byte) (int, error) {
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
func (c *watchedConn) wait(deadline time.Time) bool {
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
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	wake(c.filled)
	return nil
}

// Write gives each write its own deadline: a long stream is fine as long as the caller takes it.
func (c *watchedConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline does nothing, since Write sets its own.
func (c *watchedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline bounds the next reads.
func (c *watchedConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close closes the connection and ends the reading ahead.
func (c *watchedConn) Close() error {
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
