package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ProxyMode selects what a proxy does with the bytes that it receives.
type ProxyMode uint8

// The modes of a proxy.
const (
	ModeForward ProxyMode = iota
	// ModeDelay delays every chunk.
	ModeDelay
	// ModePartition holds back the bytes of both directions until the mode changes, as a network partition does.
	ModePartition
	// ModePartitionInbound holds back only the bytes to the target.
	ModePartitionInbound
)

const (
	// chunkDelay is the delay of each chunk in ModeDelay, longer than a round trip between data centres.
	chunkDelay = 40 * time.Millisecond
	// bufferBytes limits the size of a chunk.
	bufferBytes = 32 << 10
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to one address and can delay, partition, reset or black-hole them.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu           sync.Mutex
	mode         ProxyMode
	stateChanged *sync.Cond
	closed       bool
	conns        map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy, with the connections to the client and to the target.
type proxiedConn struct {
	client, target net.Conn
	// blackholed connections discard all further bytes, without a reset.
	blackholed bool
}

// NewProxy starts a proxy that listens on one address and forwards to another.
func NewProxy(listen, target netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{target: target, listener: l, conns: map[*proxiedConn]bool{}}
	p.stateChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	target, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &proxiedConn{client: client, target: target}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, target, client, true) })
	wg.Go(func() { p.forward(c, client, target, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = client.Close()
	_ = target.Close()
}

// forward copies the bytes of one direction until the end of the stream or an error.
func (p *Proxy) forward(c *proxiedConn, to, from net.Conn, toTarget bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.waitToForward(c, toTarget) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// A partition also holds back the end of the stream.
	if p.waitToForward(c, toTarget) {
		_ = to.(*net.TCPConn).CloseWrite()
	}
}

// waitToForward waits while the direction is partitioned, and reports whether its bytes are to be forwarded, not
// discarded.
func (p *Proxy) waitToForward(c *proxiedConn, toTarget bool) bool {
	p.mu.Lock()
	for !p.closed && !c.blackholed && (p.mode == ModePartition || (p.mode == ModePartitionInbound && toTarget)) {
		p.stateChanged.Wait()
	}
	delayed, blackholed := p.mode == ModeDelay, c.blackholed
	p.mu.Unlock()
	if delayed && !blackholed {
		time.Sleep(chunkDelay)
	}
	return !blackholed
}

// SetMode sets the mode for the open connections and for new ones.
func (p *Proxy) SetMode(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.stateChanged.Broadcast()
}

// Reset closes the open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c.client)
		reset(c.target)
	}
}

// Blackhole makes the open connections discard all further bytes. New connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = true
	}
	p.stateChanged.Broadcast()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.stateChanged.Broadcast()
	p.mu.Unlock()
	p.Reset()
}

// reset closes a connection so that its peer receives a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
