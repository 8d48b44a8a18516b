package links

import (
	"bufio"
	"net"
	"net/netip"
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
	dialTimeout = time.Second
	// defaultIdle is how long an idle connection to an upstream is kept that does not name its own time.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of an upstream's idle time after which its connection is not used again: it may be closing it.
	idleMargin = 0.8
	// maxIdle bounds the idle connections to one upstream, which shares its connections between all hosts.
	maxIdle  = 8
	linkSize = 4096
)

// Key names one start of an upstream at one address.
type Key struct {
	Addr     netip.AddrPort
	Instance core.UpstreamID
}

// Link is a connection to an upstream.
type Link struct {
	net.Conn
	// Buffered is where its answers are read from.
	Buffered *bufio.Reader
	// until is when an idle link is too old.
	until time.Time
}

// Pool keeps idle connections to upstreams.
type Pool struct {
	mu    sync.Mutex
	idle  map[Key][]*Link
	swept time.Time
}

// New returns a Pool without connections.
func New() *Pool { return &Pool{idle: map[Key][]*Link{}} }

// Get returns an idle connection that is still good, or opens one.
func (s *Pool) Get(k Key) (*Link, error) {
	for {
		l := s.take(k)
		if l == nil {
			return dial(k)
		}
		if clock.Now().Before(l.until) && l.quiet() {
			return l, nil
		}
		_ = l.Close()
	}
}

func (s *Pool) take(k Key) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[k]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	if s.idle[k] = list[:len(list)-1]; len(list) == 1 {
		delete(s.idle, k)
	}
	return l
}

func dial(k Key) (*Link, error) {
	conn, err := socket.Dialer(dialTimeout).Dial("tcp", k.Addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return &Link{Conn: conn, Buffered: bufio.NewReaderSize(conn, linkSize)}, nil
}

// quiet reports whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (l *Link) quiet() bool {
	raw, err := l.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || l.Buffered.Buffered() > 0 {
		return false
	}
	var peek [1]byte
	var got error
	err = raw.Read(func(fd uintptr) bool {
		_, _, got = unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(got, unix.EAGAIN)
}

// Put keeps a connection for later, or closes it if its answer does not allow that.
func (s *Pool) Put(k Key, l *Link, h *fasthttp.ResponseHeader) {
	life := idleTime(h)
	if h.ConnectionClose() || l.Buffered.Buffered() > 0 || life <= 0 || l.SetDeadline(time.Time{}) != nil {
		_ = l.Close()
		return
	}
	l.until = clock.Now().Add(time.Duration(idleMargin * float64(life)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	if len(s.idle[k]) >= maxIdle {
		_ = l.Close()
		return
	}
	s.idle[k] = append(s.idle[k], l)
}

// idleTime reads the time from a header such as "Keep-Alive: timeout=5".
func idleTime(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				return time.Duration(s) * time.Second
			}
		}
	}
	return defaultIdle
}

// sweepEvery is how often old idle connections are looked for.
const sweepEvery = time.Second

// sweep closes the connections that have been idle for too long.
func (s *Pool) sweep() {
	now := clock.Now()
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for k, list := range s.idle {
		keep := list[:0]
		for _, l := range list {
			if now.Before(l.until) {
				keep = append(keep, l)
				continue
			}
			_ = l.Close()
		}
		if s.idle[k] = keep; len(keep) == 0 {
			delete(s.idle, k)
		}
	}
}
