package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) line(format string, args ...any) { r.at(time.Now(), format, args...) }

func (r *record) at(when time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", when.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
