package control

import (
	"context"
	"sync"

	"oleanderlever/core"
)

// Requester sends requests to the kernel as events and matches the actions that respond to them by correlation ID.
type Requester struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan core.Action
}

// NewRequester returns a Requester without pending requests.
func NewRequester() *Requester { return &Requester{pending: map[uint64]chan core.Action{}} }

// Deliver passes an action to the Request call that waits for it. It ignores actions that do not respond to a pending
// request.
func (r *Requester) Deliver(a core.Action) {
	switch a := a.(type) {
	case core.OperatorCommandResponse:
		r.resolve(a.CorrelationID, a)
	case core.OperatorStatusResponse:
		r.resolve(a.CorrelationID, a)
	}
}

func (r *Requester) resolve(id uint64, a core.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.pending[id]; c != nil {
		c <- a
		delete(r.pending, id)
	}
}

// Request calls event with a new correlation ID, posts the result and returns the action that responds to it. The action
// is nil if the context ends first. Request returns a KindOverloaded failure if the mailbox is full.
func (r *Requester) Request(ctx context.Context, l *Loop, event func(id uint64) core.Event) (core.Action, *core.Failure) {
	response := make(chan core.Action, 1)
	r.mu.Lock()
	r.lastID++
	id := r.lastID
	r.pending[id] = response
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pending, id)
		r.mu.Unlock()
	}()
	if !l.TryPost(event(id)) {
		return nil, core.Fail(core.KindOverloaded, "the mailbox is full")
	}
	select {
	case a := <-response:
		return a, nil
	case <-ctx.Done():
		return nil, nil
	}
}
