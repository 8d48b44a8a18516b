package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes limits the size of an event, in whatever number of lines.
	maxEventBytes   = 64 << 10
	eventBufferSize = 4096
)

// EventReader reads a stream of server-sent events.
type EventReader struct {
	buffered *bufio.Reader
	event    []byte
}

// NewEventReader returns an EventReader of a response body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{buffered: bufio.NewReaderSize(body, eventBufferSize)}
}

// Next returns the next complete event, which is valid until the next call, or io.EOF at the end of the body. An
// incomplete event is an error that wraps io.ErrUnexpectedEOF.
func (e *EventReader) Next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.buffered.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case len(e.event) > maxEventBytes:
			return nil, tooLong("event", maxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "incomplete event")
		case err != nil:
			return nil, errors.Wrap(err, "read event")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.event, nil
		}
	}
}

// IsEvent reports whether all lines of an event are fields of one: id, data, event and retry, comments, and fields of an
// extension, whose names begin with "x-". An error message or another response inside a stream is none.
func IsEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0, hasColon && len(name) == 0:
		case !eventFields[string(name)] && !(hasColon && bytes.HasPrefix(name, extensionPrefix)):
			return false
		}
	}
	return true
}

// HasData reports whether an event has a data line. Comments and empty events have none.
func HasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

// eventFields are the names of an event's fields.
var eventFields = map[string]bool{"id": true, "data": true, "event": true, "retry": true}

var (
	extensionPrefix = []byte("x-")

	dataField = []byte("data:")
	dataLine  = []byte("\ndata:")
)

// EventID returns the number in an event's id line, and false if there is none.
func EventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
