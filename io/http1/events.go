package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	lineSize      = 4096
)

// Events reads a stream of events.
type Events struct {
	lines *bufio.Reader
	event []byte
}

// NewEvents returns the events of a body.
func NewEvents(body io.Reader) *Events { return &Events{lines: bufio.NewReaderSize(body, lineSize)} }

// Next returns the next whole event, which is good until the next call, or io.EOF at the body's end; an event that was cut
// is an error.
func (e *Events) Next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.lines.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.event) < maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(e.event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "an event was cut")
		case err != nil:
			return nil, errors.Wrap(err, "read event")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.event, nil
		}
	}
}

// EventID reads the number from an event's id line.
func EventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
