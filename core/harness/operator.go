package harness

import (
	"fmt"

	"oleanderlever/core"
)

// Operator sends commands to the hosts of a run and stores the responses by correlation ID.
type Operator struct {
	Results map[uint64]core.CommandResult
	Status  map[uint64]core.OperatorStatusResponse

	run               *Run
	lastCorrelationID uint64
}

// NewOperator returns an operator; the caller must pass the run's actions to Observe.
func NewOperator(r *Run) *Operator {
	return &Operator{run: r, Results: map[uint64]core.CommandResult{}, Status: map[uint64]core.OperatorStatusResponse{}}
}

// Observe stores the responses to operators among a run's actions.
func (o *Operator) Observe(a core.Action) {
	switch a := a.(type) {
	case core.OperatorCommandResponse:
		o.Results[a.CorrelationID] = a.Result
	case core.OperatorStatusResponse:
		o.Status[a.CorrelationID] = a
	}
}

// Send sends a command to a host and returns the correlation ID of the response.
func (o *Operator) Send(h *Host, c core.Command) uint64 {
	o.lastCorrelationID++
	if c.ID == "" {
		c.ID = core.CommandID(fmt.Sprintf("command-%d", o.lastCorrelationID))
	}
	o.run.Post(h, core.OperatorCommandRequest{CorrelationID: o.lastCorrelationID, Command: c})
	return o.lastCorrelationID
}

// RequestStatus requests the system's status from a host and returns the correlation ID of the response.
func (o *Operator) RequestStatus(h *Host) uint64 {
	o.lastCorrelationID++
	o.run.Post(h, core.OperatorStatusRequest{CorrelationID: o.lastCorrelationID})
	return o.lastCorrelationID
}
