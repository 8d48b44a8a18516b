package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
)

// logLine has the fields of a decision log line that a trace needs.
type logLine struct {
	Time         time.Time      `json:"time"`
	Choice       string         `json:"choice"`
	Request      core.RequestID `json:"request"`
	Account      core.AccountID `json:"account"`
	PromptTokens core.Tokens    `json:"prompt"`
	MaxTokens    core.Tokens    `json:"max"`
	OutputTokens core.Tokens    `json:"output"`
}

// Record creates a trace from the model requests in a host's log that were admitted and finished. The log does not
// describe the fleet, so the trace uses that of a generated trace, and each account gets a rate according to its
// usage.
func Record(log io.Reader, name string) (*Trace, error) {
	t := &Trace{Header: Header{Name: name, Fleet: muscat().fleet}}
	admitted := map[core.RequestID]logLine{}
	var first time.Time
	in := bufio.NewScanner(log)
	in.Buffer(nil, maxLineBytes)
	for n := 1; in.Scan(); n++ {
		var l logLine
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		switch {
		case l.Choice == "admit" && l.PromptTokens > 0:
			admitted[l.Request] = l
			if first.IsZero() {
				first = l.Time
			}
		case l.Choice == "finish" && l.OutputTokens > 0:
			if a, ok := admitted[l.Request]; ok {
				t.Lines = append(t.Lines, Line{
					At: a.Time.Sub(first), Kind: KindModel, Account: a.Account,
					PromptTokens: a.PromptTokens, MaxTokens: max(a.MaxTokens, l.OutputTokens), OutputTokens: l.OutputTokens,
				})
			}
		}
	}
	if err := in.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	if len(t.Lines) == 0 {
		return nil, core.Fail(core.KindBadRequest, "the log has no finished model requests")
	}
	t.finishRecording()
	return t, nil
}

// finishRecording sorts the lines and gives each account a rate with headroom over its usage.
func (t *Trace) finishRecording() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return int(a.At - b.At) })
	t.Duration = t.Lines[len(t.Lines)-1].At + time.Second
	used := map[core.AccountID]core.Tokens{}
	var order []core.AccountID
	for _, l := range t.Lines {
		if _, ok := used[l.Account]; !ok {
			order = append(order, l.Account)
		}
		used[l.Account] += l.PromptTokens + l.OutputTokens
	}
	slices.Sort(order)
	for _, id := range order {
		rate := core.Tokens(rateHeadroom * float64(used[id]) / t.Duration.Seconds())
		t.Accounts = append(t.Accounts, Account{ID: id, Weight: 1, Rate: rate, Burst: max(rate*core.Tokens(burstDuration/time.Second), used[id])})
	}
}
