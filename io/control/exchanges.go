package control

import (
	"context"

	"oleanderlever/core"
)

// instructionBuffer exceeds the number of instructions that can be pending for a request: the core emits the next one
// only after the result of the previous one was reported, and may emit another one when the caller disconnects.
const instructionBuffer = 8

// Exchange connects the control goroutine to the goroutine that processes one request.
type Exchange struct {
	// Instructions receives the core's actions for the goroutine that processes the request.
	Instructions chan core.Action
	// Abort aborts a running attempt without blocking. It is nil if attempts can't be aborted.
	Abort func(a core.AttemptID)
}

// NewExchange returns an Exchange with an empty instruction buffer.
func NewExchange() *Exchange {
	return &Exchange{Instructions: make(chan core.Action, instructionBuffer)}
}

// Exchanges passes the core's actions to the requests in progress, by request ID.
type Exchanges struct {
	active *Active[core.RequestID, *Exchange]
}

// NewExchanges returns Exchanges without any request.
func NewExchanges() *Exchanges { return &Exchanges{active: NewActive[core.RequestID, *Exchange]()} }

// Add adds a request. It returns false if a request with this ID is in progress.
func (e *Exchanges) Add(id core.RequestID, x *Exchange) bool { return e.active.Add(id, x) }

// Remove removes a request; later actions for it are ignored.
func (e *Exchanges) Remove(id core.RequestID) { e.active.Remove(id) }

// Wait waits until no request is in progress or the context ends.
func (e *Exchanges) Wait(ctx context.Context) { e.active.Wait(ctx) }

// Perform passes an action to its request and ignores actions that belong to no request in progress. It returns false
// if the request's instruction buffer is full, which is a bug.
func (e *Exchanges) Perform(a core.Action) bool {
	switch a := a.(type) {
	case core.RunPrefill:
		return e.send(a.Attempt.Request, a)
	case core.RunDecode:
		return e.send(a.Attempt.Request, a)
	case core.RunCall:
		return e.send(a.Attempt.Request, a)
	case core.FinishRequest:
		return e.send(a.Request, a)
	case core.SendStoredResponse:
		return e.send(a.Request, a)
	case core.RefuseRequest:
		return e.send(a.Request, a)
	case core.AbortAttempt:
		if x, ok := e.active.Get(a.Attempt.Request); ok && x.Abort != nil {
			x.Abort(a.Attempt)
		}
	}
	return true
}

func (e *Exchanges) send(id core.RequestID, a core.Action) bool {
	x, ok := e.active.Get(id)
	if !ok {
		return true
	}
	select {
	case x.Instructions <- a:
		return true
	default:
		return false
	}
}
