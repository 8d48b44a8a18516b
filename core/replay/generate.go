package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderlever/core"
)

// deployment is one user's fleet and traffic at the sizes of today.
type deployment struct {
	name  string
	fleet Fleet
	// prompt and answer are the medians of log-normal lengths.
	prompt float64
	answer float64
	shares []float64
}

// Two thirds of a prompt's variation lies within a factor of spread of its median.
const (
	spread     = 1.6
	maxAnswer  = core.Tokens(512)
	minPrompt  = core.Tokens(40)
	maxPrompt  = core.Tokens(30_000)
	sharedPart = 0.3
	prefixes   = 24
)

func muscat() deployment {
	return deployment{
		name: "muscat", prompt: 1800, answer: 130, shares: []float64{0.38, 0.27, 0.2, 0.1, 0.05},
		fleet: fleet(3, 9, 3),
	}
}

func sahten() deployment {
	return deployment{
		name: "sahten", prompt: 2400, answer: 160, shares: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
		fleet: fleet(2, 7, 4),
	}
}

// fleet makes engines of about twenty slots; a prefill of a median prompt costs some 80 ms of an engine.
func fleet(prefill, decode, services int) Fleet {
	return Fleet{
		Prefill: prefill, Decode: decode, Services: services, Slots: 20, Pieces: 40,
		PrefillPerToken: 40 * time.Microsecond, TokenTime: 30 * time.Millisecond, KVLife: 800 * time.Millisecond,
		LinkRate: 200_000, ReportLag: 300 * time.Millisecond, ReportLoss: 0.05, CacheBlocks: 2000, ServiceTime: 15 * time.Millisecond,
	}
}

// scenario is a kind of trace.
type scenario struct {
	name string
	load float64
	// flood is how often the first account's own rate it sends.
	flood float64
	// prompts multiplies the lengths of prompts, answers those of answers.
	prompts float64
	answers float64
	hangUps float64
	events  func(t *Trace)
	outcome Outcome
}

func scenarios() []scenario {
	overload := Outcome{OverNaive: 1.5, OverOracle: 0.9, Wasted: 0.01}
	calm := Outcome{Wasted: 0.01, Worst: 0.9, NoRefusal: true}
	return []scenario{
		{name: "60", load: 0.6, outcome: calm},
		{name: "90", load: 0.9, outcome: calm},
		{name: "110", load: 1.1, outcome: overload},
		{name: "150", load: 1.5, outcome: Outcome{OverOracle: 0.9, Wasted: 0.01}},
		{name: "flood", load: 0.85, flood: 5, outcome: Outcome{Wasted: 0.01, Worst: 0.9}},
		{name: "mornings", load: 0.9, prompts: 2.5, answers: 0.5, outcome: Outcome{Wasted: 0.01, Worst: 0.9}},
		{name: "deaths", load: 0.85, events: deaths, outcome: Outcome{Worst: 0.9}},
		{name: "hangups", load: 0.9, hangUps: 0.3, events: massHangUp, outcome: Outcome{Worst: 0.9}},
	}
}

// deaths kills a decode engine and a prefill engine at the peak and brings them back.
func deaths(t *Trace) {
	third := t.Length / 3
	t.Lines = append(t.Lines,
		Line{At: third, Kind: KindKill, Engine: t.Fleet.Prefill},
		Line{At: third + 2*time.Second, Kind: KindCut, Engine: t.Fleet.Prefill + 1},
		Line{At: third + 4*time.Second, Kind: KindKill, Engine: 0},
		Line{At: third + 6*time.Second, Kind: KindRevive, Engine: 0},
		Line{At: 2 * third, Kind: KindRevive, Engine: t.Fleet.Prefill},
	)
}

// massHangUp lets all callers of the moment hang up at once.
func massHangUp(t *Trace) {
	t.Lines = append(t.Lines, Line{At: t.Length / 2, Kind: KindHangUp})
}

// Names lists the traces that Generate makes.
func Names() []string {
	var out []string
	for _, d := range []deployment{muscat(), sahten()} {
		for _, s := range scenarios() {
			out = append(out, d.name+"-"+s.name)
		}
	}
	return out
}

// Generate makes a trace by name; the same name and seed give the same trace.
func Generate(name string, seed uint64, length time.Duration) (*Trace, error) {
	for _, d := range []deployment{muscat(), sahten()} {
		for _, s := range scenarios() {
			if d.name+"-"+s.name == name {
				return generate(d, s, seed, length), nil
			}
		}
	}
	return nil, core.Fail(core.KindNotFound, "there is no trace %q", name)
}

// serviceShare is how many requests go to plain services for each model request, orderShare how many of them are
// orders.
const (
	serviceShare = 0.15
	orderShare   = 0.4
	// headroom is what an account's rate is above its part of the capacity.
	headroom = 1.3
	// burstFor is how long an account's burst lasts at its rate.
	burstFor = 6 * time.Second
)

func generate(d deployment, s scenario, seed uint64, length time.Duration) *Trace {
	rng := rand.New(rand.NewPCG(seed, uint64(len(d.name)+100*len(s.name))))
	t := &Trace{Header: Header{Name: d.name + "-" + s.name, Seed: seed, Length: length, Fleet: d.fleet, Outcome: s.outcome}}
	g := &generator{trace: t, rng: rng, d: d, s: s}
	g.prompts, g.answers = or1(s.prompts), or1(s.answers)
	capacity := d.fleet.capacity(g.mean())
	for i, share := range d.shares {
		id := core.AccountID(fmt.Sprintf("account-%d", i+1))
		rate := core.Tokens(headroom * share * capacity * g.mean().charge())
		t.Accounts = append(t.Accounts, Account{ID: id, Weight: max(1, int(100*share)), Rate: rate, Burst: rate * core.Tokens(burstFor/time.Second)})
		load := s.load
		if i == 0 && s.flood > 0 {
			load = s.flood * headroom
		}
		g.account(id, load*share*capacity)
	}
	if s.events != nil {
		s.events(t)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return int(a.At - b.At) })
	return t
}

func or1(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// mean is what an average request takes.
type mean struct {
	prompt, answer, max, uncached float64
}

// charge is what an average request takes from its account's bucket before its answer is settled.
func (m mean) charge() float64 { return m.prompt + m.answer }

// generator makes the lines of a trace.
type generator struct {
	trace            *Trace
	rng              *rand.Rand
	d                deployment
	s                scenario
	prompts, answers float64
}

// logNormalMean is the mean of a log-normal of median 1 with the generator's spread.
func logNormalMean() float64 { return math.Exp(math.Pow(math.Log(spread), 2) / 2) }

func (g *generator) mean() mean {
	m := mean{prompt: g.d.prompt * g.prompts * logNormalMean(), answer: g.d.answer * g.answers * logNormalMean()}
	m.uncached = m.prompt * (1 - sharedPart*0.8)
	return m
}

// capacity is the requests a second that the fleet can carry: the smaller of what the decode slots and what the
// prefill engines give, without any loss.
func (f *Fleet) capacity(m mean) float64 {
	decode := float64(f.Decode*f.Slots) / (m.answer * f.TokenTime.Seconds())
	prefill := float64(f.Prefill) / (m.uncached * f.PrefillPerToken.Seconds())
	return min(decode, prefill)
}

func (g *generator) logNormal(median float64) float64 {
	return median * math.Exp(g.rng.NormFloat64()*math.Log(spread))
}

// account makes the arrivals of one client account at a mean rate a second.
func (g *generator) account(id core.AccountID, rate float64) {
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= g.trace.Length {
			return
		}
		at = at.Truncate(time.Millisecond)
		g.trace.Lines = append(g.trace.Lines, g.model(id, at))
		if g.rng.Float64() < serviceShare {
			g.trace.Lines = append(g.trace.Lines, g.service(id, at))
		}
	}
}

func (g *generator) model(id core.AccountID, at time.Duration) Line {
	l := Line{At: at, Kind: KindModel, Account: id}
	l.Prompt = min(maxPrompt, max(minPrompt, core.Tokens(g.logNormal(g.d.prompt*g.prompts))))
	l.Answer = min(maxAnswer, max(2, core.Tokens(g.logNormal(g.d.answer*g.answers))))
	l.Max = maxAnswer
	l.Prefix = 1 + g.rng.IntN(prefixes)
	l.Shared = core.Tokens(float64(l.Prompt) * sharedPart)
	if g.rng.Float64() < g.s.hangUps {
		l.Patience = time.Duration(50+g.rng.IntN(4000)) * time.Millisecond
	}
	return l
}

func (g *generator) service(id core.AccountID, at time.Duration) Line {
	if g.rng.Float64() < orderShare {
		return Line{At: at, Kind: KindOrder, Account: id, Key: fmt.Sprintf("order-%d", len(g.trace.Lines))}
	}
	return Line{At: at, Kind: KindLookUp, Account: id}
}
