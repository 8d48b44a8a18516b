package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
)

// Header is the first line of a trace.
type Header struct {
	Name string `json:"name"`
	// Seed is the generator's, and that of the run.
	Seed uint64 `json:"seed"`
	// Length is how long requests arrive, in nanoseconds.
	Length   time.Duration `json:"length"`
	Fleet    Fleet         `json:"fleet"`
	Accounts []Account     `json:"accounts"`
	Outcome  Outcome       `json:"outcome"`
}

// Fleet is the engines behind the pool.
type Fleet struct {
	Prefill         int           `json:"prefill"`
	Decode          int           `json:"decode"`
	Services        int           `json:"services"`
	Slots           int           `json:"slots"`
	Pieces          int           `json:"pieces"`
	PrefillPerToken time.Duration `json:"prefillPerToken"`
	TokenTime       time.Duration `json:"tokenTime"`
	KVLife          time.Duration `json:"kvLife"`
	LinkRate        core.Tokens   `json:"linkRate"`
	ReportLag       time.Duration `json:"reportLag"`
	ReportLoss      float64       `json:"reportLoss"`
	CacheBlocks     int           `json:"cacheBlocks"`
	ServiceTime     time.Duration `json:"serviceTime"`
}

// Account is a client account of a trace.
type Account struct {
	ID     core.AccountID `json:"id"`
	Weight int            `json:"weight"`
	Rate   core.Tokens    `json:"rate"`
	Burst  core.Tokens    `json:"burst"`
}

// Outcome is what a run of the trace must come to; a zero field states nothing.
type Outcome struct {
	// OverNaive and OverOracle bound the goodput from below, relative to the baseline and to the capacity.
	OverNaive  float64 `json:"overNaive,omitempty"`
	OverOracle float64 `json:"overOracle,omitempty"`
	// Wasted bounds the share of prefill that nobody used from above.
	Wasted float64 `json:"wasted,omitempty"`
	// Worst bounds from below what the worst-served account inside its rate gets, relative to what it gets alone.
	Worst float64 `json:"worst,omitempty"`
	// NoRefusal is true where no request inside its account's rate may be refused.
	NoRefusal bool `json:"noRefusal,omitempty"`
}

// Kind says what a line of a trace is.
type Kind string

// The kinds of line behind the header.
const (
	KindModel  Kind = "model"
	KindOrder  Kind = "order"
	KindLookUp Kind = "lookUp"
	KindKill   Kind = "kill"
	KindRevive Kind = "revive"
	KindCut    Kind = "cut"
	KindHangUp Kind = "hangUp"
)

// Line is one request or one event of a trace.
type Line struct {
	At      time.Duration  `json:"at"`
	Kind    Kind           `json:"kind"`
	Account core.AccountID `json:"account,omitempty"`
	Prompt  core.Tokens    `json:"prompt,omitempty"`
	// Max is the most output that the caller wants, Answer what the model will say.
	Max    core.Tokens `json:"max,omitempty"`
	Answer core.Tokens `json:"answer,omitempty"`
	// Prefix numbers the beginning that the prompt shares with others, Shared how long that is.
	Prefix int         `json:"prefix,omitempty"`
	Shared core.Tokens `json:"shared,omitempty"`
	// Patience is after how long the caller hangs up, or zero.
	Patience time.Duration `json:"patience,omitempty"`
	// Engine numbers the engine that an event happens to.
	Engine int `json:"engine,omitempty"`
	// Key names a call that may not be repeated.
	Key string `json:"key,omitempty"`
}

// Trace is a whole trace.
type Trace struct {
	Header
	Lines []Line
}

const (
	maxLineBytes = 1 << 16
	maxLines     = 1 << 20
)

// Read reads a trace in JSON lines and checks it; errors name the line.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for n := 1; in.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(in.Bytes(), &t.Header); err != nil {
				return nil, errors.Wrap(err, "line 1")
			}
			continue
		}
		var l Line
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		if err := t.check(&l); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		t.Lines = append(t.Lines, l)
	}
	if err := in.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	return t, t.checkHeader()
}

func (t *Trace) checkHeader() error {
	f := &t.Fleet
	if t.Name == "" || t.Length <= 0 || len(t.Accounts) == 0 || len(t.Lines) > maxLines {
		return core.Fail(core.KindBadRequest, "trace: name, length or accounts are missing, or it is too long")
	}
	if f.Prefill < 1 || f.Decode < 1 || f.Slots < 1 || f.Pieces < 1 || f.TokenTime <= 0 {
		return core.Fail(core.KindBadRequest, "trace: the fleet is incomplete")
	}
	return nil
}

func (t *Trace) check(l *Line) error {
	if n := len(t.Lines); n > 0 && l.At < t.Lines[n-1].At {
		return core.Fail(core.KindBadRequest, "at: before the line above")
	}
	switch l.Kind {
	case KindModel:
		if l.Prompt < 1 || l.Answer < 1 || l.Max < l.Answer || l.Shared > l.Prompt {
			return core.Fail(core.KindBadRequest, "prompt, shared, answer or max out of range")
		}
	case KindKill, KindRevive, KindCut:
		if l.Engine < 0 || l.Engine >= t.Fleet.Prefill+t.Fleet.Decode {
			return core.Fail(core.KindBadRequest, "engine: there is no number %d", l.Engine)
		}
	case KindOrder, KindLookUp, KindHangUp:
	default:
		return core.Fail(core.KindBadRequest, "kind: %q is not known", l.Kind)
	}
	return nil
}

// Write writes a trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	out := json.NewEncoder(w)
	if err := out.Encode(&t.Header); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for i := range t.Lines {
		if err := out.Encode(&t.Lines[i]); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
