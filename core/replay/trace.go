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
	// Seed is the seed of the generator and of the run.
	Seed uint64 `json:"seed"`
	// Duration is the period in which requests arrive, in nanoseconds.
	Duration time.Duration `json:"length"`
	Fleet    Fleet         `json:"fleet"`
	Accounts []Account     `json:"accounts"`
	Expected Expectation   `json:"outcome"`
}

// Fleet describes the upstreams of a trace: the engines of one pool and the plain services of another.
type Fleet struct {
	PrefillEngines  int           `json:"prefill"`
	DecodeEngines   int           `json:"decode"`
	Services        int           `json:"services"`
	Slots           int           `json:"slots"`
	Pages           int           `json:"pieces"`
	PrefillPerToken time.Duration `json:"prefillPerToken"`
	TokenInterval   time.Duration `json:"tokenTime"`
	KVHandleTTL     time.Duration `json:"kvLife"`
	LinkRate        core.Tokens   `json:"linkRate"`
	ReportDelay     time.Duration `json:"reportLag"`
	ReportLossRate  float64       `json:"reportLoss"`
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

// Expectation states what a run of the trace must achieve; a zero field states nothing.
type Expectation struct {
	// MinNaiveRatio and MinOracleRatio are the minimum goodput relative to the baseline and to Result.Oracle.
	MinNaiveRatio  float64 `json:"overNaive,omitempty"`
	MinOracleRatio float64 `json:"overOracle,omitempty"`
	// MaxWastedRatio is the maximum fraction of computed prompt tokens that are wasted.
	MaxWastedRatio float64 `json:"wasted,omitempty"`
	// MinWorstAccountRatio is the minimum of what the worst-served account within its rate gets, relative to what it
	// gets when only it sends requests.
	MinWorstAccountRatio float64 `json:"worst,omitempty"`
	// NoRefusals requires that no request within its account's rate is refused.
	NoRefusals bool `json:"noRefusal,omitempty"`
}

// LineKind is the kind of a line.
type LineKind string

// The kinds of the lines after the header.
const (
	KindModel             LineKind = "model"
	KindNonIdempotentCall LineKind = "order"
	KindIdempotentCall    LineKind = "lookUp"
	KindKill              LineKind = "kill"
	KindRestart           LineKind = "revive"
	KindBreakConnections  LineKind = "cut"
	KindDisconnect        LineKind = "hangUp"
)

// Line is a request or an event of a trace.
type Line struct {
	At           time.Duration  `json:"at"`
	Kind         LineKind       `json:"kind"`
	Account      core.AccountID `json:"account,omitempty"`
	PromptTokens core.Tokens    `json:"prompt,omitempty"`
	// MaxTokens is the caller's output limit, OutputTokens the true output length.
	MaxTokens    core.Tokens `json:"max,omitempty"`
	OutputTokens core.Tokens `json:"answer,omitempty"`
	// PrefixID identifies the prefix that the prompt shares with others, SharedTokens is its length.
	PrefixID     int         `json:"prefix,omitempty"`
	SharedTokens core.Tokens `json:"shared,omitempty"`
	// DisconnectAfter is when the caller disconnects, counted from the request's arrival; zero means never.
	DisconnectAfter time.Duration `json:"patience,omitempty"`
	// Engine is the index of the engine that the event affects.
	Engine int `json:"engine,omitempty"`
	// IdempotencyKey is the key of a non-idempotent call.
	IdempotencyKey string `json:"key,omitempty"`
}

// Trace is a sequence of requests and events.
type Trace struct {
	Header
	Lines []Line
}

const (
	maxLineBytes = 1 << 16
	maxLines     = 1 << 20
)

// Read reads a trace in JSON lines and validates it; errors name the line.
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
		if err := t.validateLine(&l); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		t.Lines = append(t.Lines, l)
	}
	if err := in.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	return t, t.validateHeader()
}

func (t *Trace) validateHeader() error {
	f := &t.Fleet
	if t.Name == "" || t.Duration <= 0 || len(t.Accounts) == 0 || len(t.Lines) > maxLines {
		return core.Fail(core.KindBadRequest, "trace: name, length or accounts are missing, or there are too many lines")
	}
	if f.PrefillEngines < 1 || f.DecodeEngines < 1 || f.Slots < 1 || f.Pages < 1 || f.TokenInterval <= 0 {
		return core.Fail(core.KindBadRequest, "trace: prefill, decode, slots, pieces and tokenTime of the fleet must be positive")
	}
	return nil
}

func (t *Trace) validateLine(l *Line) error {
	if n := len(t.Lines); n > 0 && l.At < t.Lines[n-1].At {
		return core.Fail(core.KindBadRequest, "at: must not be earlier than in the previous line")
	}
	switch l.Kind {
	case KindModel:
		if l.PromptTokens < 1 || l.OutputTokens < 1 || l.MaxTokens < l.OutputTokens || l.SharedTokens > l.PromptTokens {
			return core.Fail(core.KindBadRequest, "prompt, shared, answer or max is out of range")
		}
	case KindKill, KindRestart, KindBreakConnections:
		if l.Engine < 0 || l.Engine >= t.Fleet.PrefillEngines+t.Fleet.DecodeEngines {
			return core.Fail(core.KindBadRequest, "engine: there is no engine %d", l.Engine)
		}
	case KindNonIdempotentCall, KindIdempotentCall, KindDisconnect:
	default:
		return core.Fail(core.KindBadRequest, "kind: unknown kind %q", l.Kind)
	}
	return nil
}

// Write writes the trace as JSON lines.
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
