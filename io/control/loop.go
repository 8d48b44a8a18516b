package control

import (
	"sync"
	"time"

	"oleanderlever/core"
	"oleanderlever/io/clock"
)

// mailboxSize bounds the events that wait for the control goroutine.
const mailboxSize = 8192

// inspect is a question that the control goroutine answers between two steps.
type inspect struct {
	ask  func(k *core.Kernel)
	done chan struct{}
}

// Loop is the control goroutine with its mailbox.
type Loop struct {
	mailbox chan core.Event
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	kernel  *core.Kernel
	perform func(core.Action)
}

// NewLoop returns a loop that does not run yet; events may be posted to it already.
func NewLoop() *Loop {
	return &Loop{mailbox: make(chan core.Event, mailboxSize), stop: make(chan struct{}), stopped: make(chan struct{})}
}

// TryPost gives an event to the kernel, or returns false at once where the mailbox is full.
func (l *Loop) TryPost(ev core.Event) bool {
	select {
	case l.mailbox <- ev:
		return true
	default:
		return false
	}
}

// Post gives an event to the kernel and waits for room; it gives up only when the loop ends.
func (l *Loop) Post(ev core.Event) {
	select {
	case l.mailbox <- ev:
	case <-l.stop:
	}
}

// Inspect calls a function on the control goroutine and returns after it; it returns at once when the loop has ended.
func (l *Loop) Inspect(ask func(k *core.Kernel)) {
	q := inspect{ask: ask, done: make(chan struct{})}
	l.Post(q)
	select {
	case <-q.done:
	case <-l.stopped:
	}
}

// Start runs the kernel; perform is called on the control goroutine for each action and must not block.
func (l *Loop) Start(k *core.Kernel, perform func(core.Action)) {
	l.kernel, l.perform = k, perform
	go l.run()
}

// Stop ends the loop and waits for it.
func (l *Loop) Stop() {
	l.once.Do(func() { close(l.stop) })
	<-l.stopped
}

func (l *Loop) run() {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.step(core.Started{})
	for {
		l.arm(timer)
		select {
		case ev := <-l.mailbox:
			l.step(ev)
		case <-timer.C:
			l.step(core.Tick{})
		case <-l.stop:
			return
		}
	}
}

// idle is how long the loop waits where no part has a deadline.
const idle = time.Minute

func (l *Loop) arm(timer *time.Timer) {
	wait := idle
	if next := l.kernel.NextDeadline(); !next.IsZero() {
		wait = max(0, clock.Until(next))
	}
	timer.Reset(wait)
}

func (l *Loop) step(ev core.Event) {
	if q, ok := ev.(inspect); ok {
		q.ask(l.kernel)
		close(q.done)
		return
	}
	for _, a := range l.kernel.Step(clock.Now(), ev) {
		l.perform(a)
	}
}
