package links

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"oleanderlever/core"
	"oleanderlever/io/clock"
	"oleanderlever/io/socket"
)

const (
	// dialTimeout leaves time to use the KV cache of a prefill at another engine. The operating system repeats an opening packet
	// only after a second, so that a longer wait rarely helps.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout applies to upstreams that send no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of an upstream's idle timeout in which its connection is reused; later the upstream
	// may be about to close it.
	idleTimeoutFraction = 0.8
	// maxIdlePerUpstream limits the idle connections to one upstream, which has connections from all hosts.
	maxIdlePerUpstream = 8
	readBufferBytes    = 4096
)

// Key identifies an upstream at an address. Connections are not shared between keys, because another upstream may reuse
// the address.
type Key struct {
	Addr       netip.AddrPort
	UpstreamID core.UpstreamID
}

// PooledConn is a connection to an upstream.
type PooledConn struct {
	net.Conn
	// Reader reads the upstream's responses.
	Reader *bufio.Reader
	// expires is the time from which an idle connection is not reused.
	expires time.Time
}

// Pool holds idle connections to upstreams for reuse.
type Pool struct {
	mu        sync.Mutex
	idle      map[Key][]*PooledConn
	lastSweep time.Time
}

// New returns an empty pool.
func New() *Pool { return &Pool{idle: map[Key][]*PooledConn{}} }

// Get returns an idle connection that can be reused, or opens a new one.
func (p *Pool) Get(k Key) (*PooledConn, error) {
	for {
		c := p.pop(k)
		if c == nil {
			return Dial(k)
		}
		if clock.Now().Before(c.expires) && c.hasNoInput() {
			return c, nil
		}
		_ = c.Close()
	}
}

// GetOther is like Get, but never returns a connection in used. It adds the one that it returns to used.
func (p *Pool) GetOther(k Key, used *[]*PooledConn) (*PooledConn, error) {
	c, err := p.Get(k)
	if err == nil && slices.Contains(*used, c) {
		_ = c.Close()
		c, err = Dial(k)
	}
	if err == nil {
		*used = append(*used, c)
	}
	return c, err
}

func (p *Pool) pop(k Key) *PooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if p.idle[k] = list[:len(list)-1]; len(list) == 1 {
		delete(p.idle, k)
	}
	return c
}

// Dial opens a new connection to an upstream.
func Dial(k Key) (*PooledConn, error) {
	conn, err := Open(k.Addr, dialTimeout)
	return conn, errors.Wrap(err, "the upstream is unreachable")
}

// Open opens a new connection to any address within the timeout.
func Open(addr netip.AddrPort, timeout time.Duration) (*PooledConn, error) {
	conn, err := socket.Dialer(timeout).Dial("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &PooledConn{Conn: conn, Reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// hasNoInput reports whether an idle connection is still open and has received no bytes; any bytes would belong to no
// request.
func (c *PooledConn) hasNoInput() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || c.Reader.Buffered() > 0 {
		return false
	}
	var peek [1]byte
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, recvErr = unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(recvErr, unix.EAGAIN)
}

// Put returns a connection to the pool. It closes the connection if the response header forbids its reuse, if unread
// bytes are left or if the pool has enough idle connections for the key.
func (p *Pool) Put(k Key, c *PooledConn, h *fasthttp.ResponseHeader) {
	timeout := idleTimeout(h)
	if h.ConnectionClose() || c.Reader.Buffered() > 0 || timeout <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.expires = clock.Now().Add(time.Duration(idleTimeoutFraction * float64(timeout)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired()
	if len(p.idle[k]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[k] = append(p.idle[k], c)
}

// idleTimeout returns the upstream's idle timeout from a header such as "Keep-Alive: timeout=5", or the default.
func idleTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for param := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}

// sweepInterval is the minimum time between two searches for expired connections.
const sweepInterval = time.Second

// removeExpired closes the idle connections that have expired, at most once per sweepInterval. p.mu must be held.
func (p *Pool) removeExpired() {
	now := clock.Now()
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[k] = kept; len(kept) == 0 {
			delete(p.idle, k)
		}
	}
}
