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
	// sendQueueSize limits the messages queued for one address. If the queue is full, the oldest message is dropped,
	// since the core resends what is still needed.
	sendQueueSize = 1024
	// maxBatchMessages limits the number of messages in one batch.
	maxBatchMessages = 128
	// batchBytes is the size of the messages from which on no more are added to a batch, far below maxBatchBytes.
	batchBytes = 4 << 20
	// minDialTimeout limits the first attempt to open a connection; it is longer than a round trip between two regions. Each
	// failure doubles the limit, up to maxDialTimeout. The operating system repeats an opening packet only after a second, so
	// an attempt that began while the other host was starting, or had no room for new connections, would wait that long.
	minDialTimeout = 300 * time.Millisecond
	maxDialTimeout = 1200 * time.Millisecond
	// writeTimeout limits the time for one write; the connection is closed when it expires.
	writeTimeout = 2 * time.Second
	// redialDelay is the minimum time between two attempts to open a connection.
	redialDelay = 50 * time.Millisecond
	// probeInterval is how often a connection in use is probed; a round trip per second costs a few hundred bytes.
	probeInterval = time.Second
	// probeTimeout is how long a connection may leave a probe without a response before it is replaced. The operating
	// system closes a connection with unacknowledged bytes after the same time, but a device between the two hosts may
	// acknowledge bytes that it does not forward.
	probeTimeout = 700 * time.Millisecond
)

// errProbeTimeout means that the remote end accepts bytes but does not respond to a probe.
var errProbeTimeout = errors.New("the connection is unresponsive: no response to a probe")

// errRedialDelay means that the last connection attempt was less than redialDelay ago.
var errRedialDelay = errors.New("waiting before the next connection attempt")

// transport has one sender for each address that messages were sent to, until no host has that address any more.
type transport struct {
	self   core.HostID
	secret string
	// tls is nil if the hosts use plain TCP.
	tls *tls.Config
	log zerolog.Logger

	mu      sync.Mutex
	addrs   map[core.HostID]netip.AddrPort
	senders map[netip.AddrPort]*sender
	closed  bool
	running sync.WaitGroup
}

// sender is the goroutine that sends to one address.
type sender struct {
	t     *transport
	addr  netip.AddrPort
	queue chan core.Message
	stop  chan struct{}
	// conn is nil while there is no connection. remoteClosed is closed when the remote end closes it or it fails.
	conn         net.Conn
	remoteClosed chan struct{}
	// probeSentAt is the time of the latest probe; probeResponded is set by its response.
	probeSentAt    time.Time
	probeResponded *atomic.Bool
	// redialAt is the earliest time of the next connection attempt; failedDials counts the attempts since the last connection.
	redialAt    time.Time
	failedDials int
	// unreachable is set by a failure and reset when a batch is written.
	unreachable bool
	buf         []byte
}

func newTransport(self core.HostID, secret string, tlsConfig *tls.Config, log zerolog.Logger) *transport {
	return &transport{
		self: self, secret: secret, tls: tlsConfig, log: log,
		addrs: map[core.HostID]netip.AddrPort{}, senders: map[netip.AddrPort]*sender{},
	}
}

// peersChanged updates the addresses of the hosts and stops the senders to addresses that no host has any more.
func (t *transport) peersChanged(peers []core.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := map[netip.AddrPort]bool{}
	for _, m := range peers {
		t.addrs[m.Host] = m.Addr
		used[m.Addr] = true
	}
	for addr, s := range t.senders {
		if !used[addr] {
			close(s.stop)
			delete(t.senders, addr)
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
	if !addr.IsValid() || t.closed {
		counters.Add("undeliverable", 1)
		return
	}
	s := t.senders[addr]
	if s == nil {
		s = t.startSender(addr)
		t.senders[addr] = s
	}
	s.enqueue(m.Message)
}

func (t *transport) startSender(addr netip.AddrPort) *sender {
	s := &sender{t: t, addr: addr, queue: make(chan core.Message, sendQueueSize), stop: make(chan struct{})}
	t.running.Go(s.run)
	return s
}

// close stops all senders and waits until each has tried to send one last batch of its queued messages.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, s := range t.senders {
		close(s.stop)
	}
	clear(t.senders)
	t.mu.Unlock()
	t.running.Wait()
}

// enqueue adds a message to the queue and drops the oldest ones while there is no room. It never blocks, since it is
// called on the control goroutine.
func (s *sender) enqueue(m core.Message) {
	for {
		select {
		case s.queue <- m:
			return
		default:
		}
		select {
		case <-s.queue:
			counters.Add("dropped", 1)
		default:
		}
	}
}

func (s *sender) run() {
	defer s.closeConn()
	for {
		select {
		case m := <-s.queue:
			s.sendBatch(s.collectBatch(m))
		case <-s.remoteClosed:
			s.closeConn()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// closeConn closes the connection; the next batch opens another one.
func (s *sender) closeConn() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.conn, s.remoteClosed = nil, nil
}

// connect opens a connection unless there is a responsive one. A goroutine reads the responses to probes, the only bytes
// that the remote end sends, and notices the end of the connection.
func (s *sender) connect() error {
	if s.conn != nil && !s.probeTimedOut() {
		return nil
	}
	if s.conn != nil {
		s.logReachability(true, errProbeTimeout)
		s.closeConn()
	}
	if time.Now().Before(s.redialAt) {
		return errRedialDelay
	}
	s.redialAt = time.Now().Add(redialDelay)
	conn, err := socket.HostDialer(DialTimeout(s.failedDials)).Dial("tcp", s.addr.String())
	if err != nil {
		s.failedDials++
		return errors.Wrap(err, "dial")
	}
	s.failedDials = 0
	if s.t.tls != nil {
		tlsConfig := s.t.tls.Clone()
		tlsConfig.ServerName = s.addr.Addr().String()
		conn = tls.Client(conn, tlsConfig)
	}
	remoteClosed, probeResponded := make(chan struct{}), &atomic.Bool{}
	probeResponded.Store(true)
	go func() {
		defer close(remoteClosed)
		for buf := make([]byte, len(probeResponse)); ; probeResponded.Store(true) {
			if _, err := conn.Read(buf); err != nil {
				return
			}
		}
	}()
	s.conn, s.remoteClosed, s.probeResponded, s.probeSentAt = conn, remoteClosed, probeResponded, time.Time{}
	s.buf = greetingLine(s.t.secret)
	return nil
}

// DialTimeout returns how long an attempt to open a connection may take after a number of failed ones.
func DialTimeout(failures int) time.Duration {
	timeout := minDialTimeout
	for ; failures > 0 && timeout < maxDialTimeout; failures-- {
		timeout *= 2
	}
	return timeout
}

// probeTimedOut reports whether the latest probe has had no response for probeTimeout.
func (s *sender) probeTimedOut() bool {
	return !s.probeResponded.Load() && time.Since(s.probeSentAt) >= probeTimeout
}

// appendProbe appends a probe to out if the last one has a response and is at least probeInterval old.
func (s *sender) appendProbe(out []byte) []byte {
	if !s.probeResponded.Load() || time.Since(s.probeSentAt) < probeInterval {
		return out
	}
	s.probeSentAt = time.Now()
	s.probeResponded.Store(false)
	return append(out, probeFrame...)
}

// flush sends one batch of the messages that are still queued, such as the notice that this host is leaving.
func (s *sender) flush() {
	select {
	case m := <-s.queue:
		s.sendBatch(s.collectBatch(m))
	default:
	}
}

// collectBatch adds the queued messages to the first one, so that a busy sender makes few large writes.
func (s *sender) collectBatch(first core.Message) *Batch {
	b := &Batch{From: string(s.t.self)}
	size := 0
	for m := first; ; {
		if e, err := Encode(m); err == nil {
			b.Messages = append(b.Messages, e)
			size += len(e.GetBody())
			counters.Add("bytesOut", int64(len(e.Body)))
			sentByKind.add(e.GetType())
		}
		if len(b.Messages) >= maxBatchMessages || size >= batchBytes {
			return b
		}
		select {
		case m = <-s.queue:
		default:
			return b
		}
	}
}

// sendBatch sends a batch. It drops the batch on an error, since the core resends what is still needed.
func (s *sender) sendBatch(b *Batch) {
	s.buf = s.buf[:0]
	err := s.connect()
	if err == nil {
		err = s.write(b)
	}
	if err == nil {
		counters.Add("batchesOut", 1)
		s.logReachability(false, nil)
		return
	}
	s.closeConn()
	counters.Add("batchesLost", 1)
	s.logReachability(true, err)
}

// logReachability logs when the host becomes unreachable and when it is reachable again.
func (s *sender) logReachability(unreachable bool, err error) {
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		s.t.log.Warn().Err(err).Stringer("addr", s.addr).Msg("host is unreachable")
		return
	}
	s.t.log.Info().Stringer("addr", s.addr).Msg("host is reachable again")
}

func (s *sender) write(b *Batch) error {
	out, err := appendFrame(s.buf, b)
	if err != nil {
		return err
	}
	out = s.appendProbe(out)
	s.buf = out
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(out)
	return err
}
