package disk

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"oleanderlever/core"
)

const (
	originsFile    = "origins"
	quarantineFile = "quarantine"
)

// loadNotes reads the notes. They only help a host that has restarted, so that what can't be read is left out and is no error.
func (s *Store) loadNotes() core.Notes {
	var notes core.Notes
	s.eachNote(originsFile, func(payload []byte) error {
		var origins []core.StreamOrigin
		if err := cbor.Unmarshal(payload, &origins); err != nil {
			return err
		}
		notes.Origins = append(notes.Origins, origins...)
		return nil
	})
	s.eachNote(quarantineFile, func(payload []byte) error { return cbor.Unmarshal(payload, &notes.Quarantine) })
	return notes
}

// eachNote calls decode with the payload of each record of a file, up to the first one that can't be read.
func (s *Store) eachNote(name string, decode func(payload []byte) error) {
	data, err := os.ReadFile(filepath.Join(s.dir, name))
	for err == nil && len(data) > 0 {
		var payload []byte
		if payload, data, err = nextRecord(data); err == nil {
			err = decode(payload)
		}
	}
}

// SaveOrigins adds origins to the notes, or replaces those that are there. After an error, origins can't be added until all
// have been replaced, since the file may end with a part of a record.
func (s *Store) SaveOrigins(a core.SaveOrigins) error {
	record, err := appendRecord(nil, a.Origins)
	if err != nil {
		return err
	}
	if !a.Complete {
		if s.origins == nil {
			return errors.New("the origins are not complete")
		}
		if _, err = s.origins.Write(record); err == nil {
			err = s.Sync(s.origins)
		}
		if err != nil {
			s.closeOrigins()
		}
		return errors.Wrap(err, "append to the origins")
	}
	s.closeOrigins()
	if err := s.writeFile(originsFile, record); err != nil {
		return err
	}
	s.origins, err = os.OpenFile(filepath.Join(s.dir, originsFile), os.O_WRONLY|os.O_APPEND, fileMode)
	return errors.Wrap(err, "open the origins")
}

func (s *Store) closeOrigins() {
	if s.origins != nil {
		_ = s.origins.Close()
		s.origins = nil
	}
}

// SaveQuarantine replaces the quarantines and crashes in the notes.
func (s *Store) SaveQuarantine(a core.SaveQuarantine) error {
	record, err := appendRecord(nil, a.List)
	if err != nil {
		return err
	}
	return s.writeFile(quarantineFile, record)
}

// noteWriter is the goroutine that writes the notes, apart from the replicated log, whose writes others wait for.
type noteWriter struct {
	store *Store
	log   zerolog.Logger

	mu         sync.Mutex
	origins    *core.SaveOrigins
	quarantine *core.SaveQuarantine
	closed     bool
	wake       chan struct{}
	done       chan struct{}
}

// maxPendingOrigins limits the origins that wait for a slow disk; further ones are dropped until the next complete write.
const maxPendingOrigins = 1 << 16

func newNoteWriter(store *Store, log zerolog.Logger) *noteWriter {
	return &noteWriter{store: store, log: log, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (w *noteWriter) perform(a core.Action) {
	w.mu.Lock()
	switch a := a.(type) {
	case core.SaveOrigins:
		switch {
		case a.Complete || w.origins == nil:
			w.origins = &a
		case len(w.origins.Origins) < maxPendingOrigins:
			w.origins.Origins = append(w.origins.Origins, a.Origins...)
		}
	case core.SaveQuarantine:
		w.quarantine = &a
	}
	w.mu.Unlock()
	signal(w.wake)
}

func (w *noteWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	signal(w.wake)
	<-w.done
}

// run writes what was queued during the previous write.
func (w *noteWriter) run() {
	defer close(w.done)
	failed := false
	for range w.wake {
		w.mu.Lock()
		origins, quarantine, closed := w.origins, w.quarantine, w.closed
		w.origins, w.quarantine = nil, nil
		w.mu.Unlock()
		var err error
		if origins != nil {
			err = w.store.SaveOrigins(*origins)
		}
		if quarantine != nil {
			err = errors.CombineErrors(err, w.store.SaveQuarantine(*quarantine))
		}
		if err != nil && !failed {
			w.log.Warn().Err(err).Msg("the notes could not be written")
		}
		failed = err != nil
		if closed {
			return
		}
	}
}
