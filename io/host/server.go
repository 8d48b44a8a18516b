package host

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/control"
	"oleanderlever/io/socket"
)

// greetingTimeout limits how long a new connection may take to send its greeting.
const greetingTimeout = 5 * time.Second

// frameTimeout limits how long a frame may take from its header to its end.
const frameTimeout = 10 * time.Second

// server receives the batches of other hosts.
type server struct {
	loop   *control.Loop
	secret string
	log    zerolog.Logger

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func (s *server) serve(l net.Listener) {
	socket.Accept(l, s.log, func(conn net.Conn) {
		if s.addConn(conn) {
			go s.serveConn(conn)
		}
	})
}

func (s *server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serveConn posts the messages of a connection to the kernel until the connection ends.
func (s *server) serveConn(conn net.Conn) {
	defer s.removeConn(conn)
	if err := s.readFrames(conn); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		counters.Add("refused", 1)
		s.log.Info().Err(err).Stringer("from", conn.RemoteAddr()).Msg("incoming host connection failed")
	}
}

func (s *server) readFrames(conn net.Conn) error {
	br := bufio.NewReader(conn)
	if err := conn.SetReadDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return err
	}
	if err := readGreeting(br, s.secret); err != nil {
		return err
	}
	var buf bytes.Buffer
	for {
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		header, err := readLength(br)
		if err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
			return err
		}
		b, err := readFrame(br, header, &buf)
		if err != nil {
			return err
		}
		if b == nil {
			err = respondToProbe(conn)
		} else {
			err = s.postMessages(b)
		}
		if err != nil {
			return err
		}
	}
}

func respondToProbe(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(probeResponse)
	return err
}

// postMessages posts the messages of a batch to the kernel. A message that can't be decoded ends the connection. A
// message is dropped if the mailbox is full; the core tolerates lost messages.
func (s *server) postMessages(b *Batch) error {
	if err := core.ValidateName("from", b.GetFrom()); err != nil {
		return err
	}
	for _, e := range b.GetMessages() {
		m, err := Decode(e)
		if err != nil {
			return err
		}
		counters.Add("bytesIn", int64(len(e.GetBody())))
		receivedByKind.add(e.GetType())
		if !s.loop.TryPost(core.MessageReceived{From: core.HostID(b.GetFrom()), Message: m}) {
			counters.Add("noRoom", 1)
		}
	}
	return nil
}
