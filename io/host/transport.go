package host

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/socket"
)

const (
	// queueSize bounds the messages that wait for one host; the oldest is dropped, since the core sends again.
	queueSize = 1024
	// batchSize bounds the messages of one call.
	batchSize = 128
	// callTimeout bounds one call; a host that is later than this costs its connection.
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// maxBatchBytes bounds the body of a call.
	maxBatchBytes = 64 << 20
	// idleLink is how long a link without messages is kept.
	idleLink = time.Minute
)

// transport has one link to each host that was spoken to lately.
type transport struct {
	self   core.HostID
	secret string
	// tls is nil where the hosts speak in the clear.
	tls *tls.Config
	log zerolog.Logger

	mu    sync.Mutex
	addrs map[core.HostID]netip.AddrPort
	links map[netip.AddrPort]*link
	done  bool
	open  sync.WaitGroup
}

// link is the goroutine that sends to one address.
type link struct {
	t      *transport
	addr   netip.AddrPort
	client Host
	http   *http.Transport
	queue  chan core.Message
	stop   chan struct{}
}

func newTransport(self core.HostID, secret string, secure *tls.Config, log zerolog.Logger) *transport {
	return &transport{
		self: self, secret: secret, tls: secure, log: log,
		addrs: map[core.HostID]netip.AddrPort{}, links: map[netip.AddrPort]*link{},
	}
}

// peersChanged takes the addresses of the hosts and closes links that lead nowhere any more.
func (t *transport) peersChanged(peers []core.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := map[netip.AddrPort]bool{}
	for _, m := range peers {
		t.addrs[m.Host] = m.Addr
		used[m.Addr] = true
	}
	for addr, l := range t.links {
		if !used[addr] {
			close(l.stop)
			delete(t.links, addr)
		}
	}
}

func (t *transport) send(m core.SendMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr := m.Addr
	if !addr.IsValid() {
		addr = t.addrs[m.To]
	}
	if !addr.IsValid() || t.done {
		counters.Add("undeliverable", 1)
		return
	}
	l := t.links[addr]
	if l == nil {
		l = t.dial(addr)
		t.links[addr] = l
	}
	l.push(m.Message)
}

func (t *transport) dial(addr netip.AddrPort) *link {
	dialer := socket.Dialer(dialTimeout)
	h := &http.Transport{TLSClientConfig: t.tls, DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleLink}
	l := &link{t: t, addr: addr, http: h, queue: make(chan core.Message, queueSize), stop: make(chan struct{})}
	client := &http.Client{Transport: &bearer.Transport{Base: h, Secret: t.secret}, Timeout: callTimeout}
	scheme := "http://"
	if t.tls != nil {
		scheme = "https://"
	}
	l.client = NewHostProtobufClient(scheme+addr.String(), client)
	t.open.Go(l.run)
	return l
}

// close ends all links once each has delivered what waited for it, or has failed to.
func (t *transport) close() {
	t.mu.Lock()
	t.done = true
	for _, l := range t.links {
		close(l.stop)
	}
	clear(t.links)
	t.mu.Unlock()
	t.open.Wait()
}

// push never blocks: it is called on the control goroutine.
func (l *link) push(m core.Message) {
	for {
		select {
		case l.queue <- m:
			return
		default:
		}
		select {
		case <-l.queue:
			counters.Add("dropped", 1)
		default:
		}
	}
}

func (l *link) run() {
	defer l.http.CloseIdleConnections()
	for {
		select {
		case m := <-l.queue:
			l.deliver(l.collect(m))
		case <-l.stop:
			l.flush()
			return
		}
	}
}

// flush delivers what is left, such as a host's goodbye.
func (l *link) flush() {
	select {
	case m := <-l.queue:
		l.deliver(l.collect(m))
	default:
	}
}

// collect takes what else is waiting, so that a busy link sends few large calls.
func (l *link) collect(first core.Message) *Batch {
	b := &Batch{From: string(l.t.self)}
	for m := first; ; {
		if e, err := Encode(m); err == nil {
			b.Messages = append(b.Messages, e)
			counters.Add("bytesOut", int64(len(e.Body)))
		}
		if len(b.Messages) >= batchSize {
			return b
		}
		select {
		case m = <-l.queue:
		default:
			return b
		}
	}
}

func (l *link) deliver(b *Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	counters.Add("batchesOut", 1)
	if _, err := l.client.Deliver(ctx, b); err != nil {
		counters.Add("batchesLost", 1)
		l.http.CloseIdleConnections()
		l.t.log.Debug().Err(err).Stringer("addr", l.addr).Int("messages", len(b.Messages)).Msg("messages lost")
	}
}
