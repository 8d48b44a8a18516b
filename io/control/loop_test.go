package control_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/control"
)

// When the mailbox is full, one report must name the kinds of the events that it held.
func TestFullMailboxIsReportedByKind(t *testing.T) {
	l := control.NewLoop()
	reports := make(chan map[string]int, 2)
	l.OnFull = func(kinds map[string]int) { reports <- kinds }
	posted := 0
	for l.TryPost(core.MessageReceived{From: "h", Message: core.Gossip{}}) {
		posted++
	}
	kernel := core.New(core.Env{Self: "s", Rand: rand.New(rand.NewPCG(1, 1))}, core.Plugin{
		Name: "ignore", New: func(core.Env) core.Component { return core.Component{Handle: func(*core.Turn, core.Event) {}} },
	})
	l.Start(kernel, func(core.Action) {})
	defer l.Stop()
	select {
	case kinds := <-reports:
		require.Equal(t, posted-1, kinds["Gossip"], "the first counted event is Started")
	case <-time.After(10 * time.Second):
		require.Fail(t, "no report")
	}
	require.Empty(t, reports)
}
