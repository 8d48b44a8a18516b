package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	rank = 20
	// resendInterval is how often a command is sent to the leader until its result arrives.
	resendInterval = 500 * time.Millisecond
	// commandTimeout is how long an operator's command waits for its result before its outcome is reported as
	// unknown.
	commandTimeout = 10 * time.Second
)

// pendingCommand is a command from an operator connected to this host that has no result yet.
type pendingCommand struct {
	correlationIDs []uint64
	command        core.Command
	deadline       time.Time
	resendAt       time.Time
	resendInterval time.Duration
}

type component struct {
	maxCommands int
	leader      core.HostID
	leading     bool
	config      *core.Config
	// activeVersion is the version that is active on this host. On a replica it may be ahead of config.
	activeVersion core.ConfigVersion
	// results holds the results of the latest commands; resultOrder lists their IDs, oldest first.
	results     map[core.CommandID]core.CommandResult
	resultOrder []core.CommandID
	// forwarders lists the hosts that forwarded a command which was proposed and is not executed yet.
	forwarders map[core.CommandID][]core.HostID
	pending    map[core.CommandID]*pendingCommand
}

func init() { core.Register(Plugin()) }

// Plugin returns the config plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "config", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		maxCommands: env.Limits.Commands, config: &core.Config{},
		results:    map[core.CommandID]core.CommandResult{},
		forwarders: map[core.CommandID][]core.HostID{},
		pending:    map[core.CommandID]*pendingCommand{},
	}
	c.config.BuildIndex()
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Save: c.save, Load: c.load, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.OperatorCommandRequest:
		c.handleOperatorCommand(t, e)
	case core.Committed:
		if e.Entry.Kind == core.EntryCommand {
			c.apply(t, e.Entry)
		}
	case core.LeaderChanged:
		c.leaderChanged(e)
	case core.ConfigActivated:
		c.activeVersion = e.Config.Version
	case core.LeaseLeaderChanged:
		c.leader = e.Leader
	case core.Tick:
		c.tick(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.CommandRequest:
		c.handleCommand(t, from, m.Command)
	case core.CommandResponse:
		c.respond(t, m.Result)
	case core.RoleChangeRequest:
		c.proposeRoleChange(t, m.Assignment)
	}
}

func (c *component) leaderChanged(e core.LeaderChanged) {
	c.leading = e.Self
	if e.Leader != "" {
		c.leader = e.Leader
	}
	if !e.Self {
		clear(c.forwarders)
	}
}

func (c *component) handleOperatorCommand(t *core.Turn, e core.OperatorCommandRequest) {
	if err := e.Command.Change.Validate(); err != nil {
		t.Emit(core.OperatorCommandResponse{CorrelationID: e.CorrelationID, Result: core.CommandResult{ID: e.Command.ID, Failure: core.FailureOf(err)}})
		return
	}
	cmd := c.pending[e.Command.ID]
	if cmd == nil && len(c.pending) >= c.maxCommands {
		overloaded := core.Fail(core.KindOverloaded, "too many pending commands")
		t.Emit(core.OperatorCommandResponse{CorrelationID: e.CorrelationID, Result: core.CommandResult{ID: e.Command.ID, Failure: overloaded}})
		return
	}
	if cmd == nil {
		cmd = c.newPendingCommand(t, e.Command)
		c.pending[e.Command.ID] = cmd
	}
	cmd.correlationIDs = append(cmd.correlationIDs, e.CorrelationID)
	cmd.resendAt = t.Now.Add(cmd.resendInterval)
	t.Send(c.leader, core.CommandRequest{Command: cmd.command})
}

func (c *component) tick(t *core.Turn) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		cmd := c.pending[id]
		if core.Due(cmd.deadline, t.Now) {
			failure := core.Fail(core.KindOutcomeUnknown, "no response from a leader; resend the command with the same ID")
			c.respond(t, core.CommandResult{ID: id, Failure: failure})
			continue
		}
		if core.Due(cmd.resendAt, t.Now) {
			cmd.resendAt = t.Now.Add(cmd.resendInterval)
			t.Send(c.leader, core.CommandRequest{Command: cmd.command})
		}
	}
}

func (c *component) nextDeadline() time.Time {
	var next time.Time
	for _, cmd := range c.pending {
		next = core.Earlier(next, core.Earlier(cmd.deadline, cmd.resendAt))
	}
	return next
}

// systemOperator is recorded as the operator of changes that the system makes itself.
const systemOperator = "oleanderlever"

// proposeRoleChange proposes the assignment that a dispatcher requested. If an operator's change is committed first,
// the command fails with a version conflict and the dispatcher requests it again.
func (c *component) proposeRoleChange(t *core.Turn, a core.Assignment) {
	if !c.leading || !c.config.Policy(a.Pool).AutoRoles {
		return
	}
	if current, ok := c.config.Assignment(a.Upstream); ok && current == a {
		return
	}
	id := core.CommandID(fmt.Sprintf("shift-%s-%d", a.Upstream, c.config.Version))
	change := core.Change{Kind: core.ChangePutAssignment, Assignment: a}
	cmd := core.Command{ID: id, ExpectedVersion: c.config.Version, Change: change, Operator: systemOperator, ReceivedAt: t.Now.UTC().Round(0)}
	t.Post(core.Propose{Entry: core.Entry{Kind: core.EntryCommand, Command: cmd}})
}

// handleCommand returns the result of a command that was executed already and proposes a new one to the log.
func (c *component) handleCommand(t *core.Turn, from core.HostID, cmd core.Command) {
	if !c.leading {
		return
	}
	if r, ok := c.results[cmd.ID]; ok {
		t.Send(from, core.CommandResponse{Result: r})
		return
	}
	hosts, ok := c.forwarders[cmd.ID]
	if !slices.Contains(hosts, from) {
		c.forwarders[cmd.ID] = append(hosts, from)
	}
	if ok {
		return
	}
	cmd.ReceivedAt = t.Now.UTC().Round(0)
	t.Post(core.Propose{Entry: core.Entry{Kind: core.EntryCommand, Command: cmd}})
}

// apply executes a committed command, with the same result on every replica. A command ID that was executed before
// changes nothing, so a command that was resent or proposed by two leaders takes effect once.
func (c *component) apply(t *core.Turn, entry core.Entry) {
	cmd := entry.Command
	r, ok := c.results[cmd.ID]
	if !ok {
		r = c.execute(t, cmd, entry.Epoch)
		c.logEvacuation(t, &cmd, &r)
		c.storeResult(r)
	}
	for _, h := range c.forwarders[cmd.ID] {
		t.Send(h, core.CommandResponse{Result: r})
	}
	delete(c.forwarders, cmd.ID)
}

func (c *component) execute(t *core.Turn, cmd core.Command, epoch core.Epoch) core.CommandResult {
	r := core.CommandResult{ID: cmd.ID, Version: c.config.Version, Summary: summary(&cmd.Change), Operator: cmd.Operator, ReceivedAt: cmd.ReceivedAt}
	if d := cmd.Change.Document; cmd.Change.Kind == core.ChangeReplaceConfig && d.Revision <= c.config.Revision {
		// An older or repeated document changes nothing and is not an error.
		return r
	}
	if r.Failure = c.checkVersion(&cmd); r.Failure != nil {
		return r
	}
	next, err := c.config.Apply(&cmd.Change)
	if err != nil {
		r.Failure = core.FailureOf(err)
		return r
	}
	t.Post(core.ConfigCommitted{Config: next, Change: cmd.Change, Previous: c.config, Epoch: epoch})
	c.config = next
	r.Version = next.Version
	return r
}

// checkVersion returns why a command may not be executed in the current version, or nil.
func (c *component) checkVersion(cmd *core.Command) *core.Failure {
	switch {
	case cmd.Change.Kind == core.ChangeReplaceConfig:
		return nil
	case cmd.IsEvacuationOrder():
		return c.config.CheckSeenVersion(&cmd.Change)
	case cmd.ExpectedVersion != c.config.Version:
		return core.Fail(core.KindVersionConflict, "the version is %d, not %d", c.config.Version, cmd.ExpectedVersion)
	}
	return nil
}

func (c *component) storeResult(r core.CommandResult) {
	c.results[r.ID] = r
	c.resultOrder = append(c.resultOrder, r.ID)
	if len(c.resultOrder) > c.maxCommands {
		delete(c.results, c.resultOrder[0])
		c.resultOrder = slices.Delete(c.resultOrder, 0, 1)
	}
}

func (c *component) respond(t *core.Turn, r core.CommandResult) {
	cmd := c.pending[r.ID]
	if cmd == nil {
		return
	}
	delete(c.pending, r.ID)
	for _, correlationID := range cmd.correlationIDs {
		t.Emit(core.OperatorCommandResponse{CorrelationID: correlationID, Result: r})
	}
}

func (c *component) save(s *core.Snapshot) {
	s.Config = *c.config
	for _, id := range c.resultOrder {
		s.Commands = append(s.Commands, c.results[id])
	}
}

func (c *component) load(t *core.Turn, s *core.Snapshot) {
	loaded := s.Config
	loaded.BuildIndex()
	c.config = &loaded
	c.results = map[core.CommandID]core.CommandResult{}
	c.resultOrder = nil
	for _, r := range s.Commands {
		c.storeResult(r)
	}
	t.Post(core.ConfigCommitted{Config: c.config})
}

func (c *component) gauges(set func(string, int64)) {
	set("version", int64(c.config.Version))
	set("commandsKept", int64(len(c.resultOrder)))
	set("commandsWaiting", int64(len(c.pending)))
}

// summary returns the change's kind and the ID of its subject, for the history.
func summary(change *core.Change) string {
	subject := ""
	switch change.Kind {
	case core.ChangePutAccount, core.ChangeDeleteAccount:
		subject = string(change.Account.ID)
	case core.ChangeAddKey, core.ChangeRevokeKey:
		subject = string(change.Key.ID)
	case core.ChangePutRoute, core.ChangeDeleteRoute:
		subject = change.Route.Name
	case core.ChangePutModel, core.ChangeDeleteModel:
		subject = string(change.Model.ID)
	case core.ChangePutPolicy:
		subject = string(change.Policy.Pool)
	case core.ChangePutAssignment, core.ChangeDeleteAssignment:
		subject = string(change.Assignment.Upstream)
	case core.ChangeReplaceConfig:
		subject = fmt.Sprint("revision ", change.Document.Revision)
	case core.ChangeEvacuate, core.ChangeEndEvacuation:
		subject = string(change.DataCentre)
	}
	return fmt.Sprintf("%s %s", change.Kind, subject)
}
