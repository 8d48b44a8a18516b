package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/core/config"
	"oleanderlever/core/harness"
	"oleanderlever/core/lease"
	"oleanderlever/core/member"
	"oleanderlever/core/replica"
)

// input is one operation on the configuration's version: a compare-and-set, or a read where expect is negative.
type input struct{ expect int64 }

// output is what the operator heard.
type output struct {
	version int64
	kind    core.Kind
}

// versions is the sequential specification: a change against the version raises it by one, any other one is refused.
var versions = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, in, out any) []any {
		v, i, o := state.(int64), in.(input), out.(output)
		switch {
		case i.expect < 0 && o.kind == core.KindNone && o.version == v:
			return []any{v}
		case i.expect < 0:
			return nil
		case o.kind == core.KindNone && i.expect == v && o.version == v+1:
			return []any{v + 1}
		case o.kind == core.KindVersionConflict && i.expect != v:
			return []any{v}
		case o.kind == core.KindOutcomeUnknown && i.expect == v:
			return []any{v, v + 1}
		case o.kind == core.KindOutcomeUnknown:
			return []any{v}
		}
		return nil
	},
}

// operators race each other through different hosts and remember what they heard.
type operators struct {
	*harness.Run
	op      *harness.Operator
	history []porcupine.Operation
	seen    int64
}

func (o *operators) at() int64 { return o.Now.Sub(harness.Start).Nanoseconds() }

// command sends a change against an expected version, and the same again through another host if it takes long.
func (o *operators) command(client int, h, other *harness.Host, expect int64) {
	call := o.at()
	c := core.Command{ID: core.CommandID(fmt.Sprintf("c%d", len(o.history)*100+client)), Expect: core.Version(expect)}
	c.Change = core.Change{Kind: core.ChangePutAccount, Account: core.Account{ID: "a", Weight: 1 + client, Rate: 1, Burst: 1}}
	c.ID = core.CommandID(fmt.Sprintf("%s-%d", c.ID, call))
	first, second := o.op.Send(h, c), o.op.Send(other, c)
	o.wait(client, call, input{expect}, first, second)
}

// wait polls for the better of two answers to one command.
func (o *operators) wait(client int, call int64, in input, tickets ...uint64) {
	o.After(20*time.Millisecond, func() {
		best, answers := output{kind: core.KindOutcomeUnknown}, 0
		for _, ticket := range tickets {
			r, ok := o.op.Results[ticket]
			if !ok {
				continue
			}
			answers++
			if r.Failure == nil {
				best = output{version: int64(r.Version)}
			} else if best.kind != core.KindNone && r.Failure.Kind != core.KindOutcomeUnknown {
				best = output{kind: r.Failure.Kind}
			}
		}
		timedOut := o.at()-call > int64(30*time.Second)
		if answers < len(tickets) && best.kind == core.KindOutcomeUnknown && !timedOut {
			o.wait(client, call, in, tickets...)
			return
		}
		o.history = append(o.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: best, Return: o.end(best)})
		o.seen = max(o.seen, best.version)
	})
}

// end returns when an operation is over; one whose outcome is unknown may take effect at any later time.
func (o *operators) end(out output) int64 {
	if out.kind == core.KindOutcomeUnknown {
		return int64(time.Hour)
	}
	return o.at()
}

// read asks for the version.
func (o *operators) read(client int, h *harness.Host) {
	call := o.at()
	ticket := o.op.AskStatus(h)
	o.After(time.Second, func() {
		if a, ok := o.op.Status[ticket]; ok && a.Failure == nil {
			v := int64(a.Status.Version)
			o.history = append(o.history, porcupine.Operation{ClientId: client, Input: input{-1}, Call: call, Output: output{version: v}, Return: o.at()})
			o.seen = max(o.seen, v)
		}
	})
}

func race(seed uint64, safe replica.Safety) *operators {
	c := harness.Config{
		Seed: seed, Hosts: 5, Keepers: 3, Loss: 0.05, Repeat: 0.05, MinDelay: time.Millisecond, MaxDelay: 30 * time.Millisecond,
		SyncTime: 5 * time.Millisecond,
		Plugins:  []core.Plugin{replica.Plugin(safe), config.Plugin(), lease.Plugin(), member.Plugin()},
	}
	o := &operators{Run: harness.New(c)}
	o.op = harness.NewOperator(o.Run)
	o.OnAction = func(_ *harness.Host, a core.Action) { o.op.Observe(a) }
	o.RunFor(4 * time.Second)
	for round := range 25 {
		expect := o.seen
		for client := range 3 {
			o.command(client, o.Hosts[3+client%2], o.Hosts[4-client%2], expect)
		}
		o.read(3, o.Hosts[3])
		o.RunFor(time.Duration(o.Rand.IntN(1500)) * time.Millisecond)
		if round%5 == 4 {
			dead := o.Hosts[o.Rand.IntN(3)]
			o.Crash(dead)
			o.After(2*time.Second, func() { o.Boot(dead) })
		}
		if round%5 == 2 {
			cut := o.Hosts[o.Rand.IntN(3)]
			o.Cut = func(from, to core.HostID) bool { return (from == cut.ID) != (to == cut.ID) }
			o.After(4*time.Second, func() { o.Cut = nil })
		}
	}
	o.RunFor(40 * time.Second)
	return o
}

// "Operators race each other with equal numbers and resend commands after lost answers": the history of their
// commands and reads is linearizable, under crashes and cuts.
func TestCommandsAreLinearizable(t *testing.T) {
	model := versions.ToModel()
	for seed := range uint64(15) {
		o := race(seed, replica.Safety{})
		accepted := 0
		for _, op := range o.history {
			if op.Input.(input).expect >= 0 && op.Output.(output).kind == core.KindNone {
				accepted++
			}
		}
		require.Greater(t, accepted, 5, "seed %d", seed)
		result := porcupine.CheckOperationsTimeout(model, o.history, time.Minute)
		require.Equal(t, porcupine.Ok, result, "seed %d: %d operations", seed, len(o.history))
	}
}

// Of two operators with the same number one wins, the other one hears so, and a resent command gets its first answer.
func TestOneOfTwoOperatorsWins(t *testing.T) {
	o := race(1, replica.Safety{})
	leader := o.Hosts[3]
	expect := core.Version(o.seen)
	change := core.Change{Kind: core.ChangePutAccount, Account: core.Account{ID: "b", Weight: 1, Rate: 1, Burst: 1}}
	first := o.op.Send(leader, core.Command{ID: "x", Expect: expect, Change: change})
	o.RunFor(5 * time.Second)
	second := o.op.Send(o.Hosts[4], core.Command{ID: "y", Expect: expect, Change: change})
	again := o.op.Send(o.Hosts[4], core.Command{ID: "x", Expect: expect, Change: change})
	o.RunFor(5 * time.Second)
	require.Nil(t, o.op.Results[first].Failure)
	require.Equal(t, core.KindVersionConflict, o.op.Results[second].Failure.Kind)
	require.Equal(t, o.op.Results[first].Version, o.op.Results[again].Version)
	require.Nil(t, o.op.Results[again].Failure)
}

func TestChangesAreChecked(t *testing.T) {
	for name, c := range map[string]core.Change{
		"no kind":        {},
		"empty account":  {Kind: core.ChangePutAccount},
		"heavy account":  {Kind: core.ChangePutAccount, Account: core.Account{ID: "a", Weight: 100000}},
		"key, no hash":   {Kind: core.ChangeAddKey, Key: core.Key{ID: "k", Account: "a"}},
		"route into /v1": {Kind: core.ChangePutRoute, Route: core.Route{Name: "r", Path: "/v1/x", Pool: "p", Timeout: time.Second}},
		"endless route":  {Kind: core.ChangePutRoute, Route: core.Route{Name: "r", Path: "/x", Pool: "p", Timeout: time.Hour}},
		"silent model":   {Kind: core.ChangePutModel, Model: core.Model{ID: "m"}},
		"spaced name":    {Kind: core.ChangePutPolicy, Policy: core.UpstreamPolicy{Pool: "a b"}},
	} {
		_, err := (&core.Tables{}).Apply(&c)
		require.Error(t, err, name)
		require.Equal(t, core.KindBadRequest, core.FailureOf(err).Kind, name)
	}
}
