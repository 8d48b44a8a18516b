package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAheadBytes limits the bytes that are buffered before the server reads them; a full buffer is exceeded by at
// most one read.
const maxReadAheadBytes = 64 << 10

// WatchedListener accepts connections that detect when the caller disconnects.
type WatchedListener struct {
	net.Listener
	// WriteTimeout is the timeout of each write.
	WriteTimeout time.Duration
}

// Accept returns the next connection as a *WatchedConn.
func (l WatchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newWatchedConn(conn, l.WriteTimeout), nil
}

// WatchedConn reads ahead to detect that the caller disconnected, since the server does not read while it computes a
// response. The bytes of a pipelined request are buffered until the server reads them.
type WatchedConn struct {
	net.Conn
	// Disconnected is closed when reading ahead fails: the remote end or Close has closed the connection, or it is
	// broken.
	Disconnected chan struct{}

	mu       sync.Mutex
	buf      []byte
	err      error
	deadline time.Time
	// dataReady wakes the server's read, spaceReady the goroutine that reads ahead.
	dataReady    chan struct{}
	spaceReady   chan struct{}
	closeOnce    sync.Once
	writeTimeout time.Duration
}

func newWatchedConn(conn net.Conn, writeTimeout time.Duration) *WatchedConn {
	c := &WatchedConn{Conn: conn, writeTimeout: writeTimeout, Disconnected: make(chan struct{}), dataReady: make(chan struct{}, 1), spaceReady: make(chan struct{}, 1)}
	go c.readAhead()
	return c
}

func (c *WatchedConn) readAhead() {
	chunk := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buf = append(c.buf, chunk[:n]...)
		if err != nil {
			c.err = err
		}
		full := len(c.buf) >= maxReadAheadBytes
		c.mu.Unlock()
		notify(c.dataReady)
		if err != nil {
			close(c.Disconnected)
			return
		}
		for full {
			<-c.spaceReady
			c.mu.Lock()
			full = len(c.buf) >= maxReadAheadBytes && c.err == nil
			c.mu.Unlock()
		}
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Read returns buffered bytes. If there are none, it waits for them until the deadline and then returns
// os.ErrDeadlineExceeded.
func (c *WatchedConn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		n := copy(b, c.buf)
		c.buf = c.buf[n:]
		err, deadline := c.err, c.deadline
		c.mu.Unlock()
		if n > 0 {
			notify(c.spaceReady)
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		if !c.waitForData(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// waitForData returns true when Read must look at the buffer again, and false if the deadline has passed.
func (c *WatchedConn) waitForData(deadline time.Time) bool {
	if deadline.IsZero() {
		<-c.dataReady
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.dataReady:
		return true
	case <-timer.C:
		return false
	}
}

// SetReadDeadline sets the deadline of the current and future reads; the zero time means none.
func (c *WatchedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	notify(c.dataReady)
	return nil
}

// Write sets a new deadline for each write, so that a stream may last any time while the caller reads it.
func (c *WatchedConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetWriteDeadline does nothing, since Write sets its own deadline.
func (c *WatchedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the read deadline; Write sets its own deadline.
func (c *WatchedConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close closes the connection and stops reading ahead.
func (c *WatchedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.mu.Lock()
		if c.err == nil {
			c.err = io.ErrClosedPipe
		}
		c.mu.Unlock()
		notify(c.spaceReady)
		notify(c.dataReady)
	})
	return err
}
