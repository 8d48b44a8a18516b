package control

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleanderlever/core"
	"oleanderlever/io/clock"
)

// mailboxSize limits the events that wait for the control goroutine.
const mailboxSize = 8192

// inspection is a function that the control goroutine calls between two steps.
type inspection struct {
	fn   func(k *core.Kernel)
	done chan struct{}
}

// Loop is the control goroutine and its mailbox of events.
type Loop struct {
	mailbox  chan core.Event
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	kernel   *core.Kernel
	perform  func(core.Action)

	// OnFull, if set before Start, is called on the control goroutine after the mailbox was full, with the number of events by
	// kind that it held; at most once per fullInterval.
	OnFull func(kinds map[string]int)
	// full is set when an event found no room. tally counts the events by kind that follow, tallied is their number, and
	// tallyAfter is when the next tally may begin.
	full       atomic.Bool
	tally      map[string]int
	tallied    int
	tallyAfter time.Time
}

// fullInterval is the shortest time between two reports of a full mailbox.
const fullInterval = 5 * time.Second

// NewLoop returns a loop that is not running; events posted to it are handled after Start.
func NewLoop() *Loop {
	return &Loop{mailbox: make(chan core.Event, mailboxSize), stop: make(chan struct{}), stopped: make(chan struct{})}
}

// TryPost adds an event to the mailbox, or returns false without blocking if the mailbox is full.
func (l *Loop) TryPost(ev core.Event) bool {
	select {
	case l.mailbox <- ev:
		return true
	default:
		l.full.Store(true)
		return false
	}
}

// Post adds an event to the mailbox. It blocks while the mailbox is full and drops the event only if the loop is
// stopped.
func (l *Loop) Post(ev core.Event) {
	select {
	case l.mailbox <- ev:
	case <-l.stop:
	}
}

// Inspect calls fn on the control goroutine and waits for it to return. It returns without a call if the loop has
// stopped.
func (l *Loop) Inspect(fn func(k *core.Kernel)) {
	in := inspection{fn: fn, done: make(chan struct{})}
	l.Post(in)
	select {
	case <-in.done:
	case <-l.stopped:
	}
}

// Start starts the control goroutine, which calls perform for each action of the kernel; perform must not block.
func (l *Loop) Start(k *core.Kernel, perform func(core.Action)) {
	l.kernel, l.perform = k, perform
	go l.run()
}

// Stop stops the loop and waits until its goroutine has ended.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
}

func (l *Loop) run() {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.step(core.Started{})
	for {
		l.resetTimer(timer)
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

// maxWait is how long the loop waits for an event if no component has a deadline.
const maxWait = time.Minute

func (l *Loop) resetTimer(timer *time.Timer) {
	wait := maxWait
	if next := l.kernel.NextDeadline(); !next.IsZero() {
		wait = max(0, clock.Until(next))
	}
	timer.Reset(wait)
}

func (l *Loop) step(ev core.Event) {
	if in, ok := ev.(inspection); ok {
		in.fn(l.kernel)
		close(in.done)
		return
	}
	now := clock.Now()
	l.tallyEvent(now, ev)
	for _, a := range l.kernel.Step(now, ev) {
		l.perform(a)
	}
}

// tallyEvent counts the events that a full mailbox held.
func (l *Loop) tallyEvent(now time.Time, ev core.Event) {
	if l.tally == nil {
		if l.OnFull == nil || !l.full.Load() || now.Before(l.tallyAfter) {
			return
		}
		l.tally, l.tallied = map[string]int{}, 0
	}
	if m, ok := ev.(core.MessageReceived); ok {
		ev = m.Message
	}
	l.tally[strings.TrimPrefix(fmt.Sprintf("%T", ev), "core.")]++
	if l.tallied++; l.tallied < mailboxSize {
		return
	}
	l.OnFull(l.tally)
	l.tally, l.tallyAfter = nil, now.Add(fullInterval)
	l.full.Store(false)
}
