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

// The users' targets for a request that counts.
const (
	targetFirst = 760 * time.Millisecond
	targetGap   = 43 * time.Millisecond
	// targetShare of the gaps of an answer must meet the target.
	targetShare = 0.95
)

type loadCommand struct {
	Hosts    []addrPort    `long:"host" required:"true" description:"callers' address of a host; may be repeated"`
	Engines  []addrPort    `long:"engine" description:"stand-in engine to ask for wasted prefill; may be repeated"`
	Mix      []string      `long:"mix" required:"true" description:"name=key:requests-per-second of a client account; may be repeated"`
	Model    string        `long:"model" required:"true"`
	Duration time.Duration `long:"duration" default:"10s"`
	Prompt   int           `long:"prompt" default:"1000" description:"mean prompt length in tokens"`
	Output   int           `long:"output" default:"64" description:"most output tokens"`
	Cancel   float64       `long:"cancel" default:"0" description:"share of callers that hang up"`
	Seed     uint64        `long:"seed" default:"1"`
	JSON     bool          `long:"json"`
}

// mix is one client account's part of the load.
type mix struct {
	name, key string
	rate      float64
}

func parseMix(text string) (mix, error) {
	name, rest, ok := strings.Cut(text, "=")
	i := strings.LastIndexByte(rest, ':')
	if !ok || i < 0 {
		return mix{}, errors.Newf("--mix %s: want name=key:rate", text)
	}
	rate, err := strconv.ParseFloat(rest[i+1:], 64)
	if err != nil || rate <= 0 {
		return mix{}, errors.Newf("--mix %s: the rate must be a positive number", text)
	}
	return mix{name: name, key: rest[:i], rate: rate}, nil
}

// loadResult is what one client account got.
type loadResult struct {
	Account   string         `json:"account"`
	Sent      int            `json:"sent"`
	Good      int            `json:"good"`
	Whole     int            `json:"whole"`
	Cancelled int            `json:"cancelled"`
	Refused   map[string]int `json:"refused"`
	FirstP50  time.Duration  `json:"firstP50"`
	FirstP95  time.Duration  `json:"firstP95"`
	GapP95    time.Duration  `json:"gapP95"`

	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// loadReport is the four measures of the users, and what they come from.
type loadReport struct {
	Accounts []*loadResult `json:"accounts"`
	// Goodput is the answers a second that met both latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the share of computed prompt tokens whose result nobody used, or -1 where no engine was asked.
	WastedPrefill float64 `json:"wastedPrefill"`
	// Worst is the smallest share of an account's requests that met the targets.
	Worst        float64 `json:"worst"`
	WorstAccount string  `json:"worstAccount"`
	RefusedRate  int     `json:"refusedOverRate"`
}

// Execute drives the hosts with open-loop arrivals and prints the measures.
func (c *loadCommand) Execute([]string) error {
	var mixes []mix
	for _, text := range c.Mix {
		m, err := parseMix(text)
		if err != nil {
			return err
		}
		mixes = append(mixes, m)
	}
	before, err := c.engineStats()
	if err != nil {
		return err
	}
	report := c.drive(mixes)
	after, err := c.engineStats()
	if err != nil {
		return err
	}
	report.WastedPrefill = -1
	if computed := after.Computed - before.Computed; computed > 0 {
		report.WastedPrefill = float64(after.Wasted-before.Wasted) / float64(computed)
	}
	return report.print(os.Stdout, c.JSON)
}

// drive sends each account's requests at random times that do not depend on the answers.
func (c *loadCommand) drive(mixes []mix) *loadReport {
	report := &loadReport{}
	var all sync.WaitGroup
	for n, m := range mixes {
		r := newLoadResult(m.name)
		report.Accounts = append(report.Accounts, r)
		rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
		all.Go(func() { c.arrivals(m, r, rng) })
	}
	all.Wait()
	report.summarize(c.Duration)
	return report
}

const (
	maxLatency = int64(time.Minute / time.Microsecond)
	digits     = 3
)

func newLoadResult(name string) *loadResult {
	return &loadResult{
		Account: name, Refused: map[string]int{},
		first: hdrhistogram.New(1, maxLatency, digits), gap: hdrhistogram.New(1, maxLatency, digits),
	}
}

func (c *loadCommand) arrivals(m mix, r *loadResult, rng *rand.Rand) {
	var running sync.WaitGroup
	next := time.Now()
	for end := next.Add(c.Duration); next.Before(end); {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rng.ExpFloat64() / m.rate * float64(time.Second)))
		client := &caller.Client{Addr: c.Hosts[rng.IntN(len(c.Hosts))].AddrPort, Key: m.key}
		body := c.body(rng)
		hangUpAt := 0
		if rng.Float64() < c.Cancel {
			hangUpAt = 1 + rng.IntN(c.Output)
		}
		r.Sent++
		running.Go(func() { r.request(client, body, hangUpAt) })
	}
	running.Wait()
}

// body makes a prompt of random length around the mean, in four-byte words.
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

func (r *loadResult) request(c *caller.Client, body []byte, hangUpAt int) {
	s, err := c.Stream("/v1/chat/completions", body, func(n int) bool { return hangUpAt == 0 || n < hangUpAt })
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.Refused["connection"]++
	case s.Kind != "":
		r.Refused[s.Kind]++
	case !s.Whole:
		r.Cancelled++
	default:
		r.whole(&s)
	}
}

func (r *loadResult) whole(s *caller.Stream) {
	r.Whole++
	_ = r.first.RecordValue(s.First.Microseconds())
	slow := 0
	for _, g := range s.Gaps {
		_ = r.gap.RecordValue(g.Microseconds())
		if g > targetGap {
			slow++
		}
	}
	if s.First <= targetFirst && float64(slow) <= (1-targetShare)*float64(len(s.Gaps)) {
		r.Good++
	}
}

func (l *loadReport) summarize(d time.Duration) {
	l.Worst = 1
	good := 0
	for _, r := range l.Accounts {
		r.FirstP50 = time.Duration(r.first.ValueAtQuantile(50)) * time.Microsecond
		r.FirstP95 = time.Duration(r.first.ValueAtQuantile(95)) * time.Microsecond
		r.GapP95 = time.Duration(r.gap.ValueAtQuantile(95)) * time.Microsecond
		good += r.Good
		l.RefusedRate += r.Refused["overRate"]
		if share := float64(r.Good) / float64(max(1, r.Sent-r.Cancelled)); share < l.Worst || l.WorstAccount == "" {
			l.Worst, l.WorstAccount = share, r.Account
		}
	}
	l.Goodput = float64(good) / d.Seconds()
}

func (l *loadReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return errors.Wrap(json.NewEncoder(w).Encode(l), "report")
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ACCOUNT\tSENT\tWHOLE\tGOOD\tHUNG UP\tFIRST P50\tFIRST P95\tGAP P95\tREFUSED")
	for _, r := range l.Accounts {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\n", r.Account, r.Sent, r.Whole, r.Good, r.Cancelled, r.FirstP50, r.FirstP95, r.GapP95, r.Refused)
	}
	_, _ = fmt.Fprintf(t, "\ngoodput %.1f/s, worst account %s %.3f, refused over rate %d, wasted prefill %.4f\n", l.Goodput, l.WorstAccount, l.Worst, l.RefusedRate, l.WastedPrefill)
	return errors.Wrap(t.Flush(), "report")
}

func (c *loadCommand) engineStats() (engine.Stats, error) {
	var sum engine.Stats
	for _, addr := range c.Engines {
		s, err := statsOf(addr.AddrPort)
		if err != nil {
			return sum, err
		}
		sum.Computed += s.Computed
		sum.Wasted += s.Wasted
		sum.Generated += s.Generated
	}
	return sum, nil
}

func statsOf(addr netip.AddrPort) (engine.Stats, error) {
	var s engine.Stats
	a, err := (&caller.Client{Addr: addr, Timeout: 5 * time.Second}).Do(http.MethodGet, engine.PathStats, nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrapf(json.Unmarshal(a.Body, &s), "engine %v", addr)
}
