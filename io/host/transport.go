package host

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/socket"
)

const (
	// queueSize bounds the messages that wait for one host; the oldest is dropped, since the core sends again.
	queueSize = 1024
	// batchSize bounds the messages of one batch.
	batchSize   = 128
	dialTimeout = time.Second
	// writeTimeout bounds one write; a host that takes nothing for so long costs its connection.
	writeTimeout = 2 * time.Second
	// redialPause is the least time between two attempts to open a connection.
	redialPause = 50 * time.Millisecond
	// probeEvery is how often a connection in use is probed: a round trip a second costs some hundred bytes. One whose probe
	// goes unanswered for answerTimeout has fallen silent; that is the time after which the kernel gives up unacknowledged
	// bytes too, and something between the two ends may acknowledge what it does not pass on.
	probeEvery    = time.Second
	answerTimeout = 700 * time.Millisecond
)

// errSilent tells that the other end does not answer although it takes what is sent.
var errSilent = errors.New("the connection has fallen silent")

// errPause tells that a connection was tried a moment ago.
var errPause = errors.New("a connection was tried a moment ago")

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
	t     *transport
	addr  netip.AddrPort
	queue chan core.Message
	stop  chan struct{}
	// conn is nil while there is no connection; gone is closed when its other end closes it.
	conn net.Conn
	gone chan struct{}
	// probed is when the latest probe was sent; answered is true once it was answered.
	probed   time.Time
	answered *atomic.Bool
	// redial is when another connection may be opened.
	redial time.Time
	// lost is true from the first failure on, until a batch is delivered again.
	lost bool
	out  []byte
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
	l := &link{t: t, addr: addr, queue: make(chan core.Message, queueSize), stop: make(chan struct{})}
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
	defer l.hangUp()
	for {
		select {
		case m := <-l.queue:
			l.deliver(l.collect(m))
		case <-l.gone:
			l.hangUp()
		case <-l.stop:
			l.flush()
			return
		}
	}
}

// hangUp closes the connection; the next batch opens another one.
func (l *link) hangUp() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.conn, l.gone = nil, nil
}

// connect opens a connection, unless there is one that is not silent, and watches for its end. Nothing is ever read from it
// but the answers to probes.
func (l *link) connect() error {
	if l.conn != nil && !l.isSilent() {
		return nil
	}
	if l.conn != nil {
		l.note(true, errSilent)
		l.hangUp()
	}
	if time.Now().Before(l.redial) {
		return errPause
	}
	l.redial = time.Now().Add(redialPause)
	conn, err := socket.HostDialer(dialTimeout).Dial("tcp", l.addr.String())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	if l.t.tls != nil {
		secure := l.t.tls.Clone()
		secure.ServerName = l.addr.Addr().String()
		conn = tls.Client(conn, secure)
	}
	gone, answered := make(chan struct{}), &atomic.Bool{}
	answered.Store(true)
	go func() {
		defer close(gone)
		for buf := make([]byte, len(answer)); ; answered.Store(true) {
			if _, err := conn.Read(buf); err != nil {
				return
			}
		}
	}()
	l.conn, l.gone, l.answered, l.probed = conn, gone, answered, time.Time{}
	l.out = greet(l.t.secret)
	return nil
}

// isSilent reports whether a probe has gone unanswered for too long.
func (l *link) isSilent() bool {
	return !l.answered.Load() && time.Since(l.probed) >= answerTimeout
}

// probe adds a probe to what is sent, now and then.
func (l *link) probe(out []byte) []byte {
	if !l.answered.Load() || time.Since(l.probed) < probeEvery {
		return out
	}
	l.probed = time.Now()
	l.answered.Store(false)
	return append(out, probe...)
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

// deliver sends a batch, or loses it: the core sends again what matters.
func (l *link) deliver(b *Batch) {
	l.out = l.out[:0]
	err := l.connect()
	if err == nil {
		err = l.write(b)
	}
	if err == nil {
		counters.Add("batchesOut", 1)
		l.note(false, nil)
		return
	}
	l.hangUp()
	counters.Add("batchesLost", 1)
	l.note(true, err)
}

// note logs when the host at the other end is lost and when it is reached again.
func (l *link) note(lost bool, err error) {
	if lost == l.lost {
		return
	}
	l.lost = lost
	if lost {
		l.t.log.Warn().Err(err).Stringer("addr", l.addr).Msg("host lost")
		return
	}
	l.t.log.Info().Stringer("addr", l.addr).Msg("host reached again")
}

func (l *link) write(b *Batch) error {
	out, err := appendFrame(l.out, b)
	if err != nil {
		return err
	}
	out = l.probe(out)
	l.out = out
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = l.conn.Write(out)
	return err
}
