package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mood is what a proxy does to the bytes that pass.
type Mood uint8

// The moods of a proxy.
const (
	MoodOpen Mood = iota
	// MoodSlow delays every chunk.
	MoodSlow
	// MoodCut holds bytes back both ways until the mood changes, as a partition does.
	MoodCut
	// MoodOneWay holds back what goes to the target only.
	MoodOneWay
)

const (
	// slowBy is what a slow link adds to each chunk, more than a round trip between data centres.
	slowBy = 40 * time.Millisecond
	// chunkBytes is the most that is passed on at once.
	chunkBytes  = 32 << 10
	dialTimeout = time.Second
)

// Proxy passes the connections to one address on, and disturbs them on command.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu      sync.Mutex
	mood    Mood
	changed *sync.Cond
	closed  bool
	pairs   map[*pair]bool
}

// pair is one connection through a proxy.
type pair struct {
	in, out net.Conn
	// silent pairs swallow everything for good, without a reset.
	silent bool
}

// NewProxy listens at one loopback address for another one.
func NewProxy(listen, target netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{target: target, listener: l, pairs: map[*pair]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		reset(in)
		return
	}
	c := &pair{in: in, out: out}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, out, in, true) })
	both.Go(func() { p.pump(c, in, out, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// pump carries the bytes of one direction until its end.
func (p *Proxy) pump(c *pair, to, from net.Conn, toTarget bool) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.pass(c, toTarget) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// An end passes a cut no sooner than bytes do.
	if p.pass(c, toTarget) {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// pass waits until a direction is open and reports whether its bytes may go on.
func (p *Proxy) pass(c *pair, toTarget bool) bool {
	p.mu.Lock()
	for !p.closed && !c.silent && (p.mood == MoodCut || (p.mood == MoodOneWay && toTarget)) {
		p.changed.Wait()
	}
	slow, silent := p.mood == MoodSlow, c.silent
	p.mu.Unlock()
	if slow && !silent {
		time.Sleep(slowBy)
	}
	return !silent
}

// Set changes the mood.
func (p *Proxy) Set(m Mood) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mood = m
	p.changed.Broadcast()
}

// Reset breaks the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.in)
		reset(c.out)
	}
}

// Silence lets the open connections fall silent for good; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
	p.changed.Broadcast()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.Reset()
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
