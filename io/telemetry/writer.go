package telemetry

import (
	"expvar"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the buffered log lines; further lines are dropped and counted.
	maxPendingBytes = 1 << 20
	// batchDelay is how long lines are collected for one write, since each write is a system call.
	batchDelay = 100 * time.Millisecond
)

// droppedLines counts the log lines that were dropped.
var droppedLines = expvar.NewInt("logLinesDropped")

// Writer buffers log lines without blocking and writes them in batches on its own goroutine.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out. Close ends its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full or the Writer is closed. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		droppedLines.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and ends the goroutine. It does not wait for batchDelay, so that the log does not
// delay pending responses while the process shuts down.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	defer w.flush()
	batchTimer := time.NewTimer(batchDelay)
	defer batchTimer.Stop()
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			return
		}
		batchTimer.Reset(batchDelay)
		select {
		case <-batchTimer.C:
		case <-w.closing:
			return
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(batch) > 0 {
		// An error of the log output cannot be reported anywhere.
		_, _ = w.out.Write(batch)
	}
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
}
