package replay_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core/replay"
)

const (
	seed   = 1
	length = 30 * time.Second
)

// check is one stated outcome of one trace.
type check struct {
	name   string
	holds  bool
	detail string
}

// checks compares a trace's stated outcome with what its run came to.
func checks(tr *replay.Trace, ours, naive *replay.Result, alone *replay.Result) []check {
	o := tr.Outcome
	var out []check
	add := func(name string, stated, holds bool, format string, args ...any) {
		if stated {
			out = append(out, check{name: name, holds: holds, detail: fmt.Sprintf(format, args...)})
		}
	}
	worst := ours.Worst()
	aloneShare := alone.Worst().Share()
	add("overNaive", o.OverNaive > 0, ours.Goodput >= o.OverNaive*naive.Goodput, "goodput %.1f, naive %.1f", ours.Goodput, naive.Goodput)
	add("overOracle", o.OverOracle > 0, ours.Goodput >= o.OverOracle*ours.Oracle, "goodput %.1f, oracle %.1f", ours.Goodput, ours.Oracle)
	add("wasted", o.Wasted > 0, ours.Wasted <= o.Wasted, "wasted %.4f", ours.Wasted)
	add("worst", o.Worst > 0, worst.Share() >= o.Worst*aloneShare, "%s %.3f, alone %.3f", worst.ID, worst.Share(), aloneShare)
	add("noRefusal", o.NoRefusal, ours.RefusedInside == 0, "%d refused inside the rate", ours.RefusedInside)
	return out
}

// knownRed returns the checks that KNOWN-RED.txt lists.
func knownRed(t *testing.T) string {
	text, err := os.ReadFile("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return ""
	}
	require.NoError(t, err)
	return string(text)
}

// Every trace comes to its stated outcome, and every property holds for this system and for the baseline alike. A check
// that KNOWN-RED.txt lists is printed and passed over while it is red, and fails once it is green.
func TestTracesComeToTheirOutcome(t *testing.T) {
	red := knownRed(t)
	for _, name := range replay.Names() {
		tr, err := replay.Generate(name, seed, length)
		require.NoError(t, err)
		ours, naive := replay.Play(tr, false), replay.Play(tr, true)
		require.Empty(t, ours.Faults, name)
		require.Empty(t, naive.Faults, name)
		alone := replay.Play(tr.Alone(ours.Worst().ID), false)
		for _, c := range checks(tr, ours, naive, alone) {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				listed := strings.Contains(red, "TestTracesComeToTheirOutcome/"+name+"/"+c.name+" ")
				switch {
				case listed && !c.holds:
					t.Skipf("KNOWN RED: %s", c.detail)
				case listed:
					require.Fail(t, "the check is green; take it out of KNOWN-RED.txt", c.detail)
				default:
					require.True(t, c.holds, c.detail)
				}
			})
		}
	}
}

// A trace that was written and read again, and one that was committed, plays like the generated one.
func TestCommittedTraces(t *testing.T) {
	for _, name := range []string{"muscat-110", "sahten-90"} {
		want, err := replay.Generate(name, seed, 8*time.Second)
		require.NoError(t, err)
		var buf bytes.Buffer
		require.NoError(t, want.Write(&buf))
		committed, err := os.ReadFile("testdata/" + name + ".jsonl")
		require.NoError(t, err)
		require.Equal(t, string(committed), buf.String(), "the generator no longer makes the committed trace")
		tr, err := replay.Read(bytes.NewReader(committed))
		require.NoError(t, err)
		require.Equal(t, replay.Play(want, false), replay.Play(tr, false))
	}
}

// The same trace and seed give the same run, to the last request.
func TestReplayIsDeterministic(t *testing.T) {
	tr, err := replay.Generate("muscat-deaths", 3, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, replay.Play(tr, false), replay.Play(tr, false))
}

func TestBadTracesAreRefusedByLine(t *testing.T) {
	head := `{"name":"x","length":1000,"fleet":{"prefill":1,"decode":1,"slots":1,"pieces":1,"tokenTime":1},"accounts":[{"id":"a"}]}` + "\n"
	for name, c := range map[string]struct{ text, want string }{
		"no header":    {"nonsense\n", "line 1"},
		"no accounts":  {`{"name":"x","length":1}` + "\n", "accounts"},
		"unknown kind": {head + `{"at":1,"kind":"dance"}` + "\n", "line 2"},
		"backwards":    {head + `{"at":5,"kind":"hangUp"}` + "\n" + `{"at":1,"kind":"hangUp"}` + "\n", "line 3"},
		"no engine":    {head + `{"at":1,"kind":"kill","engine":9}` + "\n", "line 2"},
		"no answer":    {head + `{"at":1,"kind":"model","prompt":5}` + "\n", "line 2"},
	} {
		_, err := replay.Read(strings.NewReader(c.text))
		require.ErrorContains(t, err, c.want, name)
	}
}

func TestRecordFromADecisionLog(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:00Z","choice":"admit","request":"r1","account":"a","prompt":100,"max":50}
{"time":"2026-01-01T00:00:01Z","choice":"place","request":"r1"}
{"time":"2026-01-01T00:00:02Z","choice":"admit","request":"r2","account":"b","prompt":30,"max":10}
{"time":"2026-01-01T00:00:03Z","choice":"finish","request":"r2","output":7}
{"time":"2026-01-01T00:00:04Z","choice":"finish","request":"r1","output":20}
`
	tr, err := replay.Record(strings.NewReader(log), "log")
	require.NoError(t, err)
	require.Len(t, tr.Lines, 2)
	require.Equal(t, 2*time.Second, tr.Lines[1].At)
	r := replay.Play(tr, false)
	require.Empty(t, r.Faults)
	require.Zero(t, r.Refused)
}
