package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Results of a request.
const (
	resultComplete  = "complete"
	resultStatus    = "status"
	resultCut       = "cut"
	resultCutSilent = "cut without an answer"
	resultAbandoned = "abandoned"
	resultNoChannel = "no channel"
)

// request is one client attempt and what became of it.
type request struct {
	id        string
	front     *machine
	output    int
	hint      int
	deadline  time.Duration
	sentAt    time.Time
	endedAt   time.Time
	eventAt   []time.Time
	events    []int
	status    int
	retry     time.Duration
	result    string
	detail    string
	closeConn bool
}

// channel is a client's kept connection to a front.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(front *machine) (*channel, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", front.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// stream sends a request of a streaming route and reads its events. The client abandons it after a pause of maxGap.
func (c *channel) stream(q *request, path, host, key string, prompt, maxOutput int, maxGap time.Duration) {
	q.sentAt = time.Now()
	defer func() { q.endedAt = time.Now() }()
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Counts: %d,%d\r\n"+
		"X-Prompt-Prefix: %s:%d\r\nX-Length-Hint: %d\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
		path, host, q.id, prompt, maxOutput, q.id, prompt, q.hint, q.deadline.Milliseconds(), key)
	if _, err := io.WriteString(c.conn, text); err != nil {
		q.result, q.detail = resultNoChannel, err.Error()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(maxGap))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		q.fail(err, resultCutSilent)
		return
	}
	q.status, q.closeConn = response.StatusCode, response.Close
	if response.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, response.Body)
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			q.retry = time.Duration(seconds * float64(time.Second))
		}
		if q.result = resultStatus; err != nil {
			q.fail(err, resultCut)
		}
		return
	}
	for lines := bufio.NewReader(response.Body); ; {
		_ = c.conn.SetReadDeadline(time.Now().Add(maxGap))
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			q.result = resultComplete
			return
		}
		if err != nil {
			q.fail(err, resultCut)
			return
		}
		if text, ok := strings.CutPrefix(line, "id:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(text))
			q.events = append(q.events, n)
			q.eventAt = append(q.eventAt, time.Now())
		}
	}
}

func (q *request) fail(err error, result string) {
	q.closeConn = true
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		result = resultAbandoned
	}
	q.result, q.detail = result, err.Error()
}

func (q *request) lastEventAt() time.Time {
	if len(q.eventAt) == 0 {
		return q.sentAt
	}
	return q.eventAt[len(q.eventAt)-1]
}
