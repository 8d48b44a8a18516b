package config

import (
	"time"

	"oleanderlever/core"
)

// An order that begins or ends an evacuation is not compared with the current version, because its operator does not read
// the configuration before. Instead, it carries the version that its host knew when it received the order: one that was
// held up on the way must not undo a later one.
const (
	// orderTimeout is how long an order waits for its result. Operators try another host after one second.
	orderTimeout = time.Second
	// orderResendInterval is a fraction of the time in which a new leader is elected.
	orderResendInterval = 200 * time.Millisecond
)

// newPendingCommand returns a command without a result, to which an evacuation order gets the version that this host knows.
func (c *component) newPendingCommand(t *core.Turn, cmd core.Command) *pendingCommand {
	p := &pendingCommand{command: cmd, deadline: t.Now.Add(commandTimeout), resendInterval: resendInterval}
	if cmd.IsEvacuationOrder() {
		p.command.Change.SeenVersion = max(c.config.Version, c.activeVersion)
		p.deadline, p.resendInterval = t.Now.Add(orderTimeout), orderResendInterval
	}
	return p
}

// logEvacuation logs the result of an evacuation change on the leader.
func (c *component) logEvacuation(t *core.Turn, cmd *core.Command, r *core.CommandResult) {
	if !c.leading || !cmd.Change.IsEvacuation() {
		return
	}
	reason := "ordered by " + cmd.Operator
	if r.Failure != nil {
		reason = r.Failure.Error()
	}
	t.LogDecision(core.Decision{
		Component: "config", Choice: cmd.Change.Kind.String(), Reason: reason, Target: string(cmd.Change.DataCentre), Version: r.Version,
	})
}
