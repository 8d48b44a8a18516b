package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

// deployment describes the engines and the traffic of one deployment at its current size.
type deployment struct {
	name  string
	fleet Fleet
	// medianPrompt and medianOutput are the medians of the log-normal lengths.
	medianPrompt  float64
	medianOutput  float64
	accountShares []float64
}

// About two thirds of the lengths are within a factor of lengthSpread of their median.
const (
	lengthSpread      = 1.6
	maxOutput         = core.Tokens(512)
	minPrompt         = core.Tokens(40)
	maxPrompt         = core.Tokens(30_000)
	sharedPrefixRatio = 0.3
	prefixCount       = 24
)

func muscat() deployment {
	return deployment{
		name: "muscat", medianPrompt: 1800, medianOutput: 130, accountShares: []float64{0.38, 0.27, 0.2, 0.1, 0.05},
		fleet: newFleet(3, 9, 3),
	}
}

func sahten() deployment {
	return deployment{
		name: "sahten", medianPrompt: 2400, medianOutput: 160, accountShares: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
		fleet: newFleet(2, 7, 4),
	}
}

// newFleet returns a fleet whose engines have 20 slots; the prefill of a median prompt takes about 80 ms.
func newFleet(prefill, decode, services int) Fleet {
	return Fleet{
		PrefillEngines: prefill, DecodeEngines: decode, Services: services, Slots: 20, Pages: 40,
		PrefillPerToken: 40 * time.Microsecond, TokenInterval: 30 * time.Millisecond, KVHandleTTL: 800 * time.Millisecond,
		LinkRate: 200_000, ReportDelay: 300 * time.Millisecond, ReportLossRate: 0.05, CacheBlocks: 2000, ServiceTime: 15 * time.Millisecond,
	}
}

// scenario describes a kind of trace.
type scenario struct {
	name string
	// load is the rate of the requests as a fraction of the fleet's capacity.
	load float64
	// floodFactor is the load of the first account as a multiple of its rate; zero means the load of the other
	// accounts.
	floodFactor float64
	// promptFactor and outputFactor scale the median lengths; zero means 1.
	promptFactor   float64
	outputFactor   float64
	disconnectRate float64
	addEvents      func(t *Trace)
	expected       Expectation
}

func scenarios() []scenario {
	overload := Expectation{MinNaiveRatio: 1.5, MinOracleRatio: 0.9, MaxWastedRatio: 0.01}
	moderate := Expectation{MaxWastedRatio: 0.01, MinWorstAccountRatio: 0.9, NoRefusals: true}
	return []scenario{
		{name: "60", load: 0.6, expected: moderate},
		{name: "90", load: 0.9, expected: moderate},
		{name: "110", load: 1.1, expected: overload},
		{name: "150", load: 1.5, expected: Expectation{MinOracleRatio: 0.9, MaxWastedRatio: 0.01}},
		{name: "flood", load: 0.85, floodFactor: 5, expected: Expectation{MaxWastedRatio: 0.01, MinWorstAccountRatio: 0.9}},
		{name: "mornings", load: 0.9, promptFactor: 2.5, outputFactor: 0.5, expected: Expectation{MaxWastedRatio: 0.01, MinWorstAccountRatio: 0.9}},
		{name: "deaths", load: 0.85, addEvents: engineFailures, expected: Expectation{MinWorstAccountRatio: 0.9}},
		{name: "hangups", load: 0.9, disconnectRate: 0.3, addEvents: massDisconnect, expected: Expectation{MinWorstAccountRatio: 0.9}},
	}
}

// engineFailures kills a decode engine and a prefill engine and restarts them, and breaks the connections of another
// decode engine.
func engineFailures(t *Trace) {
	third := t.Duration / 3
	t.Lines = append(t.Lines,
		Line{At: third, Kind: KindKill, Engine: t.Fleet.PrefillEngines},
		Line{At: third + 2*time.Second, Kind: KindBreakConnections, Engine: t.Fleet.PrefillEngines + 1},
		Line{At: third + 4*time.Second, Kind: KindKill, Engine: 0},
		Line{At: third + 6*time.Second, Kind: KindRestart, Engine: 0},
		Line{At: 2 * third, Kind: KindRestart, Engine: t.Fleet.PrefillEngines},
	)
}

// massDisconnect disconnects all callers at once.
func massDisconnect(t *Trace) {
	t.Lines = append(t.Lines, Line{At: t.Duration / 2, Kind: KindDisconnect})
}

// Names returns the names of the traces that Generate can create.
func Names() []string {
	var out []string
	for _, d := range []deployment{muscat(), sahten()} {
		for _, s := range scenarios() {
			out = append(out, d.name+"-"+s.name)
		}
	}
	return out
}

// Generate creates a trace by name; the same name, seed and length give the same trace.
func Generate(name string, seed uint64, length time.Duration) (*Trace, error) {
	for _, d := range []deployment{muscat(), sahten()} {
		for _, s := range scenarios() {
			if d.name+"-"+s.name == name {
				return generate(d, s, seed, length), nil
			}
		}
	}
	return nil, core.Fail(core.KindNotFound, "unknown trace %q", name)
}

// serviceRatio is the number of calls to plain services per model request, nonIdempotentRatio the fraction of these
// calls that are not idempotent.
const (
	serviceRatio       = 0.15
	nonIdempotentRatio = 0.4
	// rateHeadroom is the ratio of an account's rate to its share of the capacity.
	rateHeadroom = 1.3
	// burstDuration is how long an account's rate takes to fill its burst.
	burstDuration = 6 * time.Second
)

func generate(d deployment, s scenario, seed uint64, length time.Duration) *Trace {
	rng := rand.New(rand.NewPCG(seed, uint64(len(d.name)+100*len(s.name))))
	t := &Trace{Header: Header{Name: d.name + "-" + s.name, Seed: seed, Duration: length, Fleet: d.fleet, Expected: s.expected}}
	g := &generator{trace: t, rng: rng, deployment: d, scenario: s}
	g.promptFactor, g.outputFactor = oneIfZero(s.promptFactor), oneIfZero(s.outputFactor)
	capacity := d.fleet.capacity(g.mean())
	for i, share := range d.accountShares {
		id := core.AccountID(fmt.Sprintf("account-%d", i+1))
		rate := core.Tokens(rateHeadroom * share * capacity * g.mean().cost())
		t.Accounts = append(t.Accounts, Account{ID: id, Weight: max(1, int(100*share)), Rate: rate, Burst: rate * core.Tokens(burstDuration/time.Second)})
		load := s.load
		if i == 0 && s.floodFactor > 0 {
			load = s.floodFactor * rateHeadroom
		}
		g.addArrivals(id, load*share*capacity)
	}
	if s.addEvents != nil {
		s.addEvents(t)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return int(a.At - b.At) })
	return t
}

func oneIfZero(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// meanRequest has the mean lengths of a request in tokens.
type meanRequest struct {
	prompt, output, max, uncached float64
}

// cost returns the tokens that a mean request takes from its account's bucket.
func (m meanRequest) cost() float64 { return m.prompt + m.output }

// generator creates the lines of a trace.
type generator struct {
	trace                      *Trace
	rng                        *rand.Rand
	deployment                 deployment
	scenario                   scenario
	promptFactor, outputFactor float64
}

// logNormalMean returns the mean of a log-normal distribution with median 1 and the spread of the lengths.
func logNormalMean() float64 { return math.Exp(math.Pow(math.Log(lengthSpread), 2) / 2) }

func (g *generator) mean() meanRequest {
	m := meanRequest{prompt: g.deployment.medianPrompt * g.promptFactor * logNormalMean(), output: g.deployment.medianOutput * g.outputFactor * logNormalMean()}
	m.uncached = m.prompt * (1 - sharedPrefixRatio*0.8)
	return m
}

// capacity returns the number of requests per second that the fleet can serve when it is fully used: the lower of the
// rates that the decode slots and the prefill engines allow.
func (f *Fleet) capacity(m meanRequest) float64 {
	decode := float64(f.DecodeEngines*f.Slots) / (m.output * f.TokenInterval.Seconds())
	prefill := float64(f.PrefillEngines) / (m.uncached * f.PrefillPerToken.Seconds())
	return min(decode, prefill)
}

func (g *generator) logNormal(median float64) float64 {
	return median * math.Exp(g.rng.NormFloat64()*math.Log(lengthSpread))
}

// addArrivals adds the requests of one client account, at a mean rate per second.
func (g *generator) addArrivals(id core.AccountID, rate float64) {
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= g.trace.Duration {
			return
		}
		at = at.Truncate(time.Millisecond)
		g.trace.Lines = append(g.trace.Lines, g.modelLine(id, at))
		if g.rng.Float64() < serviceRatio {
			g.trace.Lines = append(g.trace.Lines, g.serviceLine(id, at))
		}
	}
}

func (g *generator) modelLine(id core.AccountID, at time.Duration) Line {
	l := Line{At: at, Kind: KindModel, Account: id}
	l.PromptTokens = min(maxPrompt, max(minPrompt, core.Tokens(g.logNormal(g.deployment.medianPrompt*g.promptFactor))))
	l.OutputTokens = min(maxOutput, max(2, core.Tokens(g.logNormal(g.deployment.medianOutput*g.outputFactor))))
	l.MaxTokens = maxOutput
	l.PrefixID = 1 + g.rng.IntN(prefixCount)
	l.SharedTokens = core.Tokens(float64(l.PromptTokens) * sharedPrefixRatio)
	if g.rng.Float64() < g.scenario.disconnectRate {
		l.DisconnectAfter = time.Duration(50+g.rng.IntN(4000)) * time.Millisecond
	}
	return l
}

func (g *generator) serviceLine(id core.AccountID, at time.Duration) Line {
	if g.rng.Float64() < nonIdempotentRatio {
		return Line{At: at, Kind: KindNonIdempotentCall, Account: id, IdempotencyKey: fmt.Sprintf("order-%d", len(g.trace.Lines))}
	}
	return Line{At: at, Kind: KindIdempotentCall, Account: id}
}
