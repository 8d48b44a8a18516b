package console

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"oleanderlever/io/caller"
	"oleanderlever/io/engine"
)

// The users' latency targets; a completed request that meets both counts towards goodput.
const (
	maxFirstTokenLatency = 760 * time.Millisecond
	maxTokenGap          = 43 * time.Millisecond
	// minGapRatio is the part of a response's token gaps that must not exceed maxTokenGap.
	minGapRatio = 0.95
)

type loadCommand struct {
	Hosts    []addrPort    `long:"host" required:"true" description:"caller address of a host; may be repeated"`
	Engines  []addrPort    `long:"engine" description:"stand-in engine to query for wasted prefill; may be repeated"`
	Mix      []string      `long:"mix" required:"true" description:"name=key:requests-per-second of a client account; may be repeated"`
	Model    string        `long:"model" required:"true"`
	Duration time.Duration `long:"duration" default:"10s"`
	Prompt   int           `long:"prompt" default:"1000" description:"mean prompt length in tokens"`
	Output   int           `long:"output" default:"64" description:"maximum output tokens"`
	Cancel   float64       `long:"cancel" default:"0" description:"share of requests whose caller disconnects"`
	Seed     uint64        `long:"seed" default:"1"`
	JSON     bool          `long:"json"`
}

// accountLoad is the load of one client account.
type accountLoad struct {
	name, key string
	rate      float64
}

func parseAccountLoad(text string) (accountLoad, error) {
	name, rest, ok := strings.Cut(text, "=")
	i := strings.LastIndexByte(rest, ':')
	if !ok || i < 0 {
		return accountLoad{}, errors.Newf("--mix %s: must be name=key:rate", text)
	}
	rate, err := strconv.ParseFloat(rest[i+1:], 64)
	if err != nil || rate <= 0 {
		return accountLoad{}, errors.Newf("--mix %s: the rate must be a positive number", text)
	}
	return accountLoad{name: name, key: rest[:i], rate: rate}, nil
}

// loadResult is the result of one client account.
type loadResult struct {
	Account       string         `json:"account"`
	Sent          int            `json:"sent"`
	WithinTargets int            `json:"good"`
	Completed     int            `json:"whole"`
	Cancelled     int            `json:"cancelled"`
	Refused       map[string]int `json:"refused"`
	FirstTokenP50 time.Duration  `json:"firstP50"`
	FirstTokenP95 time.Duration  `json:"firstP95"`
	TokenGapP95   time.Duration  `json:"gapP95"`

	mu                sync.Mutex
	firstTokenLatency *hdrhistogram.Histogram
	tokenGap          *hdrhistogram.Histogram
}

// loadReport contains the results of the client accounts and the metrics of the whole load.
type loadReport struct {
	Accounts []*loadResult `json:"accounts"`
	// Goodput is the number of responses per second that met both latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the share of prefilled prompt tokens whose result was not used, or -1 if no engine was queried.
	WastedPrefill float64 `json:"wastedPrefill"`
	// WorstRatio is the lowest ratio, among the accounts, of requests within the targets to requests not cancelled.
	WorstRatio      float64 `json:"worst"`
	WorstAccount    string  `json:"worstAccount"`
	RefusedOverRate int     `json:"refusedOverRate"`
}

// Execute sends requests with open-loop arrivals and prints the metrics.
func (c *loadCommand) Execute([]string) error {
	var loads []accountLoad
	for _, text := range c.Mix {
		load, err := parseAccountLoad(text)
		if err != nil {
			return err
		}
		loads = append(loads, load)
	}
	before, err := c.engineStats()
	if err != nil {
		return err
	}
	report := c.runLoads(loads)
	after, err := c.engineStats()
	if err != nil {
		return err
	}
	report.WastedPrefill = -1
	if computed := after.ComputedTokens - before.ComputedTokens; computed > 0 {
		report.WastedPrefill = float64(after.WastedTokens-before.WastedTokens) / float64(computed)
	}
	return report.print(os.Stdout, c.JSON)
}

// runLoads sends the requests of all accounts, at random times that do not depend on the responses.
func (c *loadCommand) runLoads(loads []accountLoad) *loadReport {
	report := &loadReport{}
	var wg sync.WaitGroup
	for n, load := range loads {
		r := newLoadResult(load.name)
		report.Accounts = append(report.Accounts, r)
		rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
		wg.Go(func() { c.sendRequests(load, r, rng) })
	}
	wg.Wait()
	report.summarize(c.Duration)
	return report
}

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newLoadResult(name string) *loadResult {
	return &loadResult{
		Account: name, Refused: map[string]int{},
		firstTokenLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits), tokenGap: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

func (c *loadCommand) sendRequests(load accountLoad, r *loadResult, rng *rand.Rand) {
	var running sync.WaitGroup
	next := time.Now()
	for end := next.Add(c.Duration); next.Before(end); {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rng.ExpFloat64() / load.rate * float64(time.Second)))
		client := &caller.Client{Addr: c.Hosts[rng.IntN(len(c.Hosts))].AddrPort, APIKey: load.key}
		body := c.body(rng)
		disconnectAt := 0
		if rng.Float64() < c.Cancel {
			disconnectAt = 1 + rng.IntN(c.Output)
		}
		r.Sent++
		running.Go(func() { r.sendRequest(client, body, disconnectAt) })
	}
	running.Wait()
}

// body returns a request with a prompt of random length around the mean. Each word has four bytes, the estimated size
// of one token.
func (c *loadCommand) body(rng *rand.Rand) []byte {
	words := max(1, int(float64(c.Prompt)*(0.5+rng.Float64())))
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"`, c.Model, c.Output)
	for range words {
		_, _ = fmt.Fprintf(&b, "%03x ", rng.IntN(1<<12))
	}
	b.WriteString(`"}]}`)
	return []byte(b.String())
}

func (r *loadResult) sendRequest(c *caller.Client, body []byte, disconnectAt int) {
	s, err := c.Stream("/v1/chat/completions", body, func(n int) bool { return disconnectAt == 0 || n < disconnectAt })
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.Refused["connection"]++
	case s.Kind != "":
		r.Refused[s.Kind]++
	case !s.Complete:
		r.Cancelled++
	default:
		r.recordCompleted(&s)
	}
}

func (r *loadResult) recordCompleted(s *caller.StreamResult) {
	r.Completed++
	_ = r.firstTokenLatency.RecordValue(s.FirstTokenLatency.Microseconds())
	slow := 0
	for _, g := range s.TokenGaps {
		_ = r.tokenGap.RecordValue(g.Microseconds())
		if g > maxTokenGap {
			slow++
		}
	}
	if s.FirstTokenLatency <= maxFirstTokenLatency && float64(slow) <= (1-minGapRatio)*float64(len(s.TokenGaps)) {
		r.WithinTargets++
	}
}

func (l *loadReport) summarize(d time.Duration) {
	l.WorstRatio = 1
	withinTargets := 0
	for _, r := range l.Accounts {
		r.FirstTokenP50 = time.Duration(r.firstTokenLatency.ValueAtQuantile(50)) * time.Microsecond
		r.FirstTokenP95 = time.Duration(r.firstTokenLatency.ValueAtQuantile(95)) * time.Microsecond
		r.TokenGapP95 = time.Duration(r.tokenGap.ValueAtQuantile(95)) * time.Microsecond
		withinTargets += r.WithinTargets
		l.RefusedOverRate += r.Refused["overRate"]
		if ratio := float64(r.WithinTargets) / float64(max(1, r.Sent-r.Cancelled)); ratio < l.WorstRatio || l.WorstAccount == "" {
			l.WorstRatio, l.WorstAccount = ratio, r.Account
		}
	}
	l.Goodput = float64(withinTargets) / d.Seconds()
}

func (l *loadReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return errors.Wrap(json.NewEncoder(w).Encode(l), "report")
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ACCOUNT\tSENT\tWHOLE\tGOOD\tHUNG UP\tFIRST P50\tFIRST P95\tGAP P95\tREFUSED")
	for _, r := range l.Accounts {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\n", r.Account, r.Sent, r.Completed, r.WithinTargets, r.Cancelled, r.FirstTokenP50, r.FirstTokenP95, r.TokenGapP95, r.Refused)
	}
	_, _ = fmt.Fprintf(t, "\ngoodput %.1f/s, worst account %s %.3f, refused over rate %d, wasted prefill %.4f\n", l.Goodput, l.WorstAccount, l.WorstRatio, l.RefusedOverRate, l.WastedPrefill)
	return errors.Wrap(t.Flush(), "report")
}

func (c *loadCommand) engineStats() (engine.Stats, error) {
	var sum engine.Stats
	for _, addr := range c.Engines {
		s, err := fetchEngineStats(addr.AddrPort)
		if err != nil {
			return sum, err
		}
		sum.ComputedTokens += s.ComputedTokens
		sum.WastedTokens += s.WastedTokens
		sum.GeneratedTokens += s.GeneratedTokens
	}
	return sum, nil
}

func fetchEngineStats(addr netip.AddrPort) (engine.Stats, error) {
	var s engine.Stats
	resp, err := (&caller.Client{Addr: addr, Timeout: 5 * time.Second}).Do(http.MethodGet, engine.PathStats, nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrapf(json.Unmarshal(resp.Body, &s), "engine %v", addr)
}
