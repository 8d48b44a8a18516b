package telemetry

import (
	"expvar"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes of log lines that wait to be written; lines beyond it are dropped and counted.
	maxPending = 1 << 20
	// gatherTime is how long lines gather before they are written together, since each write is a system call.
	gatherTime = 100 * time.Millisecond
)

// dropped counts the log lines that found no room.
var dropped = expvar.NewInt("logLinesDropped")

// Writer takes log lines without blocking and writes them on a goroutine of its own.
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

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or drops it where too much waits already; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits without gathering more, and ends the goroutine: whatever still wants an answer of a process that
// ends must not wait for its log.
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
	gather := time.NewTimer(gatherTime)
	defer gather.Stop()
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			return
		}
		gather.Reset(gatherTime)
		select {
		case <-gather.C:
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
		// There is no place to report that the log itself can't be written.
		_, _ = w.out.Write(batch)
	}
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
}
