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

// logLine is what a trace needs of a line of a host's decision log.
type logLine struct {
	Time    time.Time      `json:"time"`
	Choice  string         `json:"choice"`
	Request core.RequestID `json:"request"`
	Account core.AccountID `json:"account"`
	Prompt  core.Tokens    `json:"prompt"`
	Max     core.Tokens    `json:"max"`
	Output  core.Tokens    `json:"output"`
}

// Record makes a trace of the model requests in a host's log that were admitted and finished. The log names no fleet, so
// the trace gets the one of a generated trace, and each account the share of the rates that it used.
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
		case l.Choice == "admit" && l.Prompt > 0:
			admitted[l.Request] = l
			if first.IsZero() {
				first = l.Time
			}
		case l.Choice == "finish" && l.Output > 0:
			if a, ok := admitted[l.Request]; ok {
				t.Lines = append(t.Lines, Line{
					At: a.Time.Sub(first), Kind: KindModel, Account: a.Account,
					Prompt: a.Prompt, Max: max(a.Max, l.Output), Answer: l.Output,
				})
			}
		}
	}
	if err := in.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	if len(t.Lines) == 0 {
		return nil, core.Fail(core.KindBadRequest, "the log has no finished model request")
	}
	t.finishRecord()
	return t, nil
}

// finishRecord puts the lines in order and gives each account a rate with headroom over what it used.
func (t *Trace) finishRecord() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return int(a.At - b.At) })
	t.Length = t.Lines[len(t.Lines)-1].At + time.Second
	used := map[core.AccountID]core.Tokens{}
	var order []core.AccountID
	for _, l := range t.Lines {
		if _, ok := used[l.Account]; !ok {
			order = append(order, l.Account)
		}
		used[l.Account] += l.Prompt + l.Answer
	}
	slices.Sort(order)
	for _, id := range order {
		rate := core.Tokens(headroom * float64(used[id]) / t.Length.Seconds())
		t.Accounts = append(t.Accounts, Account{ID: id, Weight: 1, Rate: rate, Burst: max(rate*core.Tokens(burstFor/time.Second), used[id])})
	}
}
