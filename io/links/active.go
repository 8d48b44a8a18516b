package links

import (
	"net"
	"sync"
)

// ActiveConn is the connection of a request's attempt in progress, which another goroutine may abort.
type ActiveConn struct {
	mu   sync.Mutex
	conn net.Conn
	// aborted is the number of the last attempt that was aborted.
	aborted int
}

// Set registers the connection of an attempt; it returns false if the attempt was already aborted.
func (a *ActiveConn) Set(attempt int, conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt <= a.aborted {
		return false
	}
	a.conn = conn
	return true
}

// Clear removes the connection.
func (a *ActiveConn) Clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// Abort closes the connection of an attempt, which makes the upstream drop the request, and keeps the attempt from getting one.
func (a *ActiveConn) Abort(attempt int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = max(a.aborted, attempt)
	if a.conn != nil {
		_ = a.conn.Close()
	}
}
