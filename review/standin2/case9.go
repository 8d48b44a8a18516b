package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// largeTimeout is the longest TimeoutMs that the pages name.
	largeTimeout     = 14 * time.Second
	largeAnswerBytes = 10_000_000
	slowReadBytes    = 75_000
	slowReadInterval = 100 * time.Millisecond
	hupFronts        = 4
	hupInterval      = 500 * time.Millisecond
	// linkSegmentBytes and windowBytes give the loopback channel the segments and the small window of a link.
	linkSegmentBytes = 1460
	windowBytes      = 64 << 10
)

// download is an order whose answer a client reads steadily, and what became of it.
type download struct {
	id       string
	status   int
	expected int64
	bytes    int
	took     time.Duration
	err      error
}

// playSlowReader has clients send an order just after the SIGHUP of their front and read the large answer
// steadily, but slowly.
func playSlowReader(s *scenario) error {
	document := orderDocument(1, false, largeTimeout)
	runners, err := s.startOrderService(document, largeAnswerBytes)
	defer func() {
		for _, r := range runners {
			r.stop()
		}
	}()
	if err != nil {
		return err
	}
	results := make(chan *download, hupFronts)
	for _, front := range s.fleet.fronts[:hupFronts] {
		if err := front.signal(syscall.SIGHUP); err != nil {
			return err
		}
		s.record.line("SIGHUP to %s", front.name)
		go func() { results <- s.download(front) }()
		time.Sleep(hupInterval)
	}
	broken := 0
	for range hupFronts {
		d := <-results
		ran := 0
		for _, r := range runners {
			ran += r.runsOf(d.id)
		}
		s.record.line("id %s: status %d, %d of %d bytes in %.1f s, ran %d times, error %v", d.id, d.status, d.bytes, d.expected, d.took.Seconds(), ran, d.err)
		if ran == 0 || d.status != http.StatusOK {
			return fmt.Errorf("order %s: status %d, ran %d times", d.id, d.status, ran)
		}
		if d.err != nil && d.took < largeTimeout {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d of %d orders that ran have no complete answer", errBroken, broken, hupFronts)
	}
	return nil
}

// download sends an order and reads its answer: slowReadBytes in each slowReadInterval, or at once without the disruption.
func (s *scenario) download(front *machine) *download {
	d := &download{id: fmt.Sprintf("%016x", rand.Uint64())}
	started := time.Now()
	defer func() { d.took = time.Since(started) }()
	dialer := net.Dialer{Timeout: time.Second, Control: limitWindow}
	conn, err := dialer.DialContext(context.Background(), "tcp", fmt.Sprintf("%s:%d", front.ip, frontPort))
	if err != nil {
		d.err = err
		return d
	}
	defer func() { _ = conn.Close() }()
	s.record.line("an order is sent to %s, id %s", front.name, d.id)
	text := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n"+
		"Content-Length: 2\r\n\r\n{}", orderPrefix, streamHost, d.id, largeTimeout.Milliseconds(), apiKey)
	if _, d.err = io.WriteString(conn, text); d.err != nil {
		return d
	}
	_ = conn.SetReadDeadline(started.Add(largeTimeout + time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.err = err
		return d
	}
	defer func() { _ = response.Body.Close() }()
	d.status, d.expected = response.StatusCode, response.ContentLength
	if d.status != http.StatusOK {
		return d
	}
	buf := make([]byte, slowReadBytes)
	for next := time.Now(); ; next = next.Add(slowReadInterval) {
		if s.trouble {
			time.Sleep(time.Until(next))
		}
		n, err := io.ReadFull(response.Body, buf)
		d.bytes += n
		switch {
		case int64(d.bytes) == d.expected:
			return d
		case err != nil:
			d.err = err
			return d
		}
	}
}

func limitWindow(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		if optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegmentBytes); optionErr == nil {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}
