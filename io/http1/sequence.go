package http1

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors of a stream of numbered events that may go on in the response of another upstream.
var (
	ErrMissingEvent  = errors.New("an event is missing")
	ErrNoEvent       = errors.New("the stream has something else than events")
	ErrNotNumbered   = errors.New("the event has no number")
	ErrNotContinuing = errors.New("the stream can't go on in this response")
)

var contentEventStream = []byte("text/event-stream")

// CanContinue returns an ErrNotContinuing error if a response can't be the rest of a stream with the given number of events, the
// last of which has the number lastID: one that is no stream, or any response if the events have no numbers.
func CanContinue(h *fasthttp.ResponseHeader, events int64, lastID uint64) error {
	switch {
	case events == 0:
		return nil
	case lastID == 0:
		return errors.Wrap(ErrNotContinuing, "its events have no numbers")
	case !bytes.HasPrefix(h.ContentType(), contentEventStream):
		return errors.Wrapf(ErrNotContinuing, "the response has type %q", h.ContentType())
	}
	return nil
}

// CheckEvent returns the number of the event that follows the one with the number lastID, or zero if it has none, and whether it
// repeats an earlier one. An event that is none or can't follow is an error.
func CheckEvent(event []byte, lastID uint64) (id uint64, repeated bool, err error) {
	id, numbered := EventID(event)
	switch {
	case numbered && id <= lastID:
		return id, true, nil
	case numbered && lastID > 0 && id != lastID+1:
		return id, false, errors.Wrapf(ErrMissingEvent, "got event %d after event %d", id, lastID)
	case !IsEvent(event):
		return 0, false, ErrNoEvent
	case !numbered && lastID > 0 && HasData(event):
		return 0, false, errors.Wrapf(ErrNotNumbered, "after event %d", lastID)
	case !numbered:
		return 0, false, nil
	}
	return id, false, nil
}
