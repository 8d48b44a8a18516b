package console

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core/replay"
)

type replayCommand struct {
	Trace    string        `long:"trace" description:"trace file in JSON lines"`
	Generate []string      `long:"generate" description:"generate the trace with this name, or all; may be repeated"`
	Record   string        `long:"record" description:"create a trace from a host's decision log"`
	Out      string        `long:"out" description:"write the trace to this file instead of replaying it"`
	Seed     uint64        `long:"seed" default:"1"`
	Length   time.Duration `long:"length" default:"30s"`
	JSON     bool          `long:"json"`
	Plot     string        `long:"plot" description:"write a gnuplot script with the metrics to this file"`
}

// comparison holds the results of a trace with this system and with the naive baseline.
type comparison struct {
	Name  string         `json:"name"`
	Ours  *replay.Result `json:"ours"`
	Naive *replay.Result `json:"naive"`
}

// Execute replays traces and prints the metrics of this system and of the naive baseline, or writes a trace to a file.
func (c *replayCommand) Execute([]string) error {
	traces, err := c.loadTraces()
	if err != nil {
		return err
	}
	if c.Out != "" {
		return c.writeTrace(traces)
	}
	var comparisons []comparison
	for _, t := range traces {
		comparisons = append(comparisons, comparison{Name: t.Name, Ours: replay.Play(t, false), Naive: replay.Play(t, true)})
	}
	if c.Plot != "" {
		if err := os.WriteFile(c.Plot, gnuplotScript(comparisons), 0o600); err != nil {
			return errors.Wrap(err, "plot")
		}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(comparisons), "replay")
	}
	return printComparisons(os.Stdout, comparisons)
}

func (c *replayCommand) loadTraces() ([]*replay.Trace, error) {
	switch {
	case c.Trace != "":
		f, err := os.Open(c.Trace)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		defer func() { _ = f.Close() }()
		t, err := replay.Read(f)
		return []*replay.Trace{t}, errors.Wrap(err, c.Trace)
	case c.Record != "":
		f, err := os.Open(c.Record)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		defer func() { _ = f.Close() }()
		t, err := replay.Record(f, "recorded")
		return []*replay.Trace{t}, errors.Wrap(err, c.Record)
	}
	return c.generateTraces()
}

func (c *replayCommand) generateTraces() ([]*replay.Trace, error) {
	names := c.Generate
	if len(names) == 0 {
		return nil, errors.Newf("give --trace, --record or --generate with one of: all, %s", strings.Join(replay.Names(), ", "))
	}
	if names[0] == "all" {
		names = replay.Names()
	}
	var out []*replay.Trace
	for _, n := range names {
		t, err := replay.Generate(n, c.Seed, c.Length)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

func (c *replayCommand) writeTrace(traces []*replay.Trace) error {
	f, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "out")
	}
	if err := traces[0].Write(f); err != nil {
		return err
	}
	return errors.Wrap(f.Close(), "out")
}

func printComparisons(w io.Writer, comparisons []comparison) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "TRACE\tVERSION\tGOODPUT\tOF ORACLE\tWASTED\tWORST ACCOUNT\tREFUSED\tINSIDE RATE\tFAULTS")
	for _, p := range comparisons {
		for _, r := range []struct {
			version string
			*replay.Result
		}{{"oleanderlever", p.Ours}, {"naive", p.Naive}} {
			worst := r.WorstAccount()
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.1f/s\t%.2f\t%.3f\t%.3f %s\t%d\t%d\t%d\n", p.Name, r.version, r.Goodput, r.Goodput/r.Oracle, r.WastedRatio, worst.GoodRatio(), worst.ID, r.Refused, r.RefusedWithinRate, len(r.Violations))
		}
	}
	return errors.Wrap(t.Flush(), "replay")
}

// gnuplotScript returns a gnuplot script that shows the goodput relative to the oracle and the worst account's ratio.
func gnuplotScript(comparisons []comparison) []byte {
	var b strings.Builder
	b.WriteString("$measures << EOD\n")
	for _, p := range comparisons {
		ours, naive := p.Ours.WorstAccount(), p.Naive.WorstAccount()
		_, _ = fmt.Fprintf(&b, "%s %.4f %.4f %.4f %.4f\n", p.Name, p.Ours.Goodput/p.Ours.Oracle, p.Naive.Goodput/p.Naive.Oracle, ours.GoodRatio(), naive.GoodRatio())
	}
	b.WriteString("EOD\nset style data histograms\nset style fill solid\nset yrange [0:1.1]\nset xtics rotate by -45\n" +
		"plot $measures using 2:xtic(1) title 'goodput of oracle', '' using 3 title 'naive goodput', " +
		"'' using 4 title 'worst account', '' using 5 title 'naive worst account'\n")
	return []byte(b.String())
}
