package replay

import (
	"math"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/harness"
)

// The latency targets.
const (
	// FirstTokenTarget is the maximum time from the arrival of a request to its first token.
	FirstTokenTarget = 760 * time.Millisecond
	// minOnTimeTokenRatio is the fraction of a response's tokens that must come within harness.MaxTokenGap of the
	// previous one.
	minOnTimeTokenRatio = 0.95
)

// Result is the result of a run.
type Result struct {
	Name string `json:"name"`
	// Goodput is the number of model responses per second that met both latency targets.
	Goodput float64 `json:"goodput"`
	// Oracle is the upper bound of the goodput that the slots and the prefill engines allow for these requests.
	Oracle float64 `json:"oracle"`
	// WastedRatio is the fraction of computed prompt tokens whose KV cache no decode used.
	WastedRatio float64 `json:"wasted"`
	// PrefillUtilization is the computing time of the prefill engines as a fraction of the trace's duration.
	PrefillUtilization float64 `json:"busy"`
	// Refused counts the refused requests, RefusedWithinRate those that were within their account's rate.
	Refused           int             `json:"refused"`
	RefusedWithinRate int             `json:"refusedInside"`
	Accounts          []AccountResult `json:"accounts"`
	// Violations lists the invariant violations that were seen.
	Violations []string `json:"faults"`
}

// AccountResult is the result of one client account; it counts model requests only.
type AccountResult struct {
	ID   core.AccountID `json:"id"`
	Sent int            `json:"sent"`
	Good int            `json:"good"`
	// WithinRate counts the requests that were within the account's rate, GoodWithinRate those of them that met the
	// targets.
	WithinRate     int `json:"inside"`
	GoodWithinRate int `json:"goodInside"`
}

// GoodRatio returns the fraction of the requests within the rate that met the targets.
func (a AccountResult) GoodRatio() float64 {
	return float64(a.GoodWithinRate) / float64(max(1, a.WithinRate))
}

// minWithinRateRatio is the fraction of its requests that an account must send within its rate to count as staying
// within it.
const minWithinRateRatio = 0.95

func (a AccountResult) staysWithinRate() bool {
	return float64(a.WithinRate) >= minWithinRateRatio*float64(a.Sent) && a.Sent > 0
}

// WorstAccount returns the account with the lowest GoodRatio of those that stay within their rate.
func (r *Result) WorstAccount() AccountResult {
	worst := AccountResult{WithinRate: 1, GoodWithinRate: 1}
	for _, a := range r.Accounts {
		if a.staysWithinRate() && a.GoodRatio() <= worst.GoodRatio() {
			worst = a
		}
	}
	return worst
}

// metTargets reports whether the request succeeded within both latency targets.
func metTargets(x *harness.Exchange) bool {
	if x.Failure != nil || x.Responses != 1 || x.FirstTokenAt.IsZero() {
		return false
	}
	return x.FirstTokenAt.Sub(x.ArrivedAt) <= FirstTokenTarget && float64(x.LateTokens) <= (1-minOnTimeTokenRatio)*float64(x.OutputLength)
}

func (r *runner) result() *Result {
	out := &Result{Name: r.trace.Name, Violations: r.violations()}
	byID := map[core.AccountID]*AccountResult{}
	buckets := map[core.AccountID]*tokenBucket{}
	for _, a := range r.trace.Accounts {
		out.Accounts = append(out.Accounts, AccountResult{ID: a.ID})
		buckets[a.ID] = &tokenBucket{rate: float64(a.Rate), burst: float64(a.Burst), level: float64(a.Burst)}
	}
	for i := range out.Accounts {
		byID[out.Accounts[i].ID] = &out.Accounts[i]
	}
	total := 0
	for _, x := range r.upstreams.Arrivals {
		withinRate := buckets[x.Account].take(x)
		refused := x.Failure != nil && !x.Disconnected
		if refused {
			out.Refused++
		}
		if refused && withinRate {
			out.RefusedWithinRate++
		}
		if x.Model == "" || x.Disconnected {
			continue
		}
		byID[x.Account].count(x, withinRate)
		if metTargets(x) {
			total++
		}
	}
	out.Goodput = float64(total) / r.trace.Duration.Seconds()
	out.Oracle = r.oracle()
	out.WastedRatio = r.wastedRatio()
	out.PrefillUtilization = r.prefillUtilization()
	return out
}

func (a *AccountResult) count(x *harness.Exchange, withinRate bool) {
	a.Sent++
	ok := metTargets(x)
	if ok {
		a.Good++
	}
	if withinRate {
		a.WithinRate++
	}
	if withinRate && ok {
		a.GoodWithinRate++
	}
}

// tokenBucket decides which requests are within their account's rate, from the trace alone: a request costs its
// prompt and its true output length.
type tokenBucket struct {
	rate, burst, level float64
	last               time.Time
}

func (b *tokenBucket) take(x *harness.Exchange) bool {
	if !b.last.IsZero() {
		b.level = math.Min(b.burst, b.level+x.ArrivedAt.Sub(b.last).Seconds()*b.rate)
	}
	b.last = x.ArrivedAt
	cost := float64(x.Spec.PromptLength + x.OutputLength)
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

// oracle returns the number of model requests per second whose callers did not disconnect, or what the fleet could
// serve if all slots and prefill engines were always busy and all full blocks of shared prefixes cached, whichever is
// lower.
func (r *runner) oracle() float64 {
	f := &r.trace.Fleet
	var n, slotTime, prefillTime float64
	for _, x := range r.upstreams.Arrivals {
		if x.Model == "" || x.Disconnected {
			continue
		}
		n++
		slotTime += float64(x.OutputLength) * f.TokenInterval.Seconds()
		cached := x.Spec.SharedLength / core.PrefixBlockTokens * core.PrefixBlockTokens
		prefillTime += float64(x.Spec.PromptLength-cached) * f.PrefillPerToken.Seconds()
	}
	if n == 0 {
		return 0
	}
	length := r.trace.Duration.Seconds()
	decode := float64(f.DecodeEngines*f.Slots) * n / slotTime
	prefill := float64(f.PrefillEngines) * n / prefillTime
	return math.Min(n/length, math.Min(decode, prefill))
}

func (r *runner) wastedRatio() float64 {
	var computed, wasted core.Tokens
	for _, e := range r.upstreams.Engines {
		computed += e.PrefilledTokens
		wasted += e.WastedTokens
	}
	return float64(wasted) / float64(max(1, computed))
}

func (r *runner) prefillUtilization() float64 {
	f := &r.trace.Fleet
	var computed core.Tokens
	for _, e := range r.upstreams.Engines {
		computed += e.PrefilledTokens
	}
	return float64(computed) * f.PrefillPerToken.Seconds() / float64(f.PrefillEngines) / r.trace.Duration.Seconds()
}

// ForAccount returns a copy of the trace with the requests of one account and all events.
func (t *Trace) ForAccount(id core.AccountID) *Trace {
	out := &Trace{Header: t.Header}
	for _, l := range t.Lines {
		if l.Account == "" || l.Account == id {
			out.Lines = append(out.Lines, l)
		}
	}
	return out
}
