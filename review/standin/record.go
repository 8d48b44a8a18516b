package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of one run: what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}
