package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/engine"
)

const (
	// meanStreamInterval and meanOrderInterval are the mean times between two requests of one caller.
	meanStreamInterval = 120 * time.Millisecond
	meanOrderInterval  = 60 * time.Millisecond
	// requestTimeout limits the time that a caller waits for a complete response.
	requestTimeout = 12 * time.Second
	// maxOrderAttempts limits how often one order is sent until it succeeds.
	maxOrderAttempts = 6
	// maxLatencyMicros is the highest latency that the histogram can record, in microseconds.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
)

// order records what the callers observed of one order.
type order struct {
	body      string
	succeeded bool
	// outcomeUnknown is set once an attempt ended without a response, or with a failure that isn't marked as not executed.
	outcomeUnknown bool
}

// callerResults collects what the callers observed.
type callerResults struct {
	mu               sync.Mutex
	orders           []*order
	streams          int
	completeStreams  int
	limitedSuccesses int
	failures         map[string]int
	firstToken       *hdrhistogram.Histogram
}

func newCallerResults() *callerResults {
	return &callerResults{failures: map[string]int{}, firstToken: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (r *callerResults) countFailure(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[kind]++
}

// newClient returns a client that connects to a host through the proxy.
func (s *soak) newClient(h *Host, key string) *caller.Client {
	return &caller.Client{Addr: h.callersAddr, APIKey: key, Timeout: requestTimeout}
}

func (s *soak) randomHost(rng *rand.Rand) *Host { return s.fleet.Hosts[rng.IntN(len(s.fleet.Hosts))] }

// runCallers runs callers until stop is closed.
func (s *soak) runCallers(stop <-chan struct{}, rng *rand.Rand) {
	var wg sync.WaitGroup
	start := func(meanInterval time.Duration, send func(rng *rand.Rand, n int)) {
		callerRand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { s.repeatAtRandom(stop, callerRand, meanInterval, func(n int) { send(callerRand, n) }) })
	}
	for range 4 {
		start(meanStreamInterval, s.sendStream)
	}
	for c := range 4 {
		start(meanOrderInterval, func(rng *rand.Rand, n int) { s.sendOrder(rng, fmt.Sprintf("order-%d-%d", c, n)) })
	}
	start(meanOrderInterval/4, s.sendLimited)
	wg.Wait()
}

// sendStream requests a stream and checks that the tokens belong to this request, in order, and that only a stream with
// all its tokens is marked as complete.
func (s *soak) sendStream(rng *rand.Rand, _ int) {
	prompt := fmt.Sprintf("verse %d", rng.Uint64())
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, modelPool, prompt)
	stream, err := s.newClient(s.randomHost(rng), s.key).Stream("/v1/chat/completions", body, nil)
	s.callerResults.mu.Lock()
	defer s.callerResults.mu.Unlock()
	s.callerResults.streams++
	if err != nil {
		s.callerResults.failures["broken"]++
		return
	}
	if stream.Kind != "" {
		s.callerResults.failures[stream.Kind]++
	}
	expected, err := expectedText(body, stream.Tokens)
	s.checkError(err, "seed")
	if stream.Text != expected {
		s.reportViolation("stream: %q received %d tokens of another response: %q, want %q",
			prompt, stream.Tokens, stream.Text, expected)
	}
	if stream.Complete && stream.Kind == "" && stream.Tokens != outputTokens {
		s.reportViolation("stream: %q is marked complete after %d tokens", prompt, stream.Tokens)
	}
	if stream.Complete && stream.Kind == "" {
		s.callerResults.completeStreams++
		s.checkError(s.callerResults.firstToken.RecordValue(stream.FirstTokenLatency.Microseconds()), "histogram")
	}
}

// expectedText returns the first tokens of the output that every engine generates for a request body.
func expectedText(body []byte, tokens int) (string, error) {
	seed, err := engine.Seed(body)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.OutputToken(seed, core.Tokens(i)))
	}
	return b.String(), err
}

// sendOrder sends an order with its own idempotency key through random hosts until it succeeds or the attempts run out.
func (s *soak) sendOrder(rng *rand.Rand, body string) {
	o := &order{body: body}
	idempotencyKey := caller.Header{Name: "Idempotency-Key", Value: body}
	for range maxOrderAttempts {
		resp, err := s.newClient(s.randomHost(rng), s.key).Do(http.MethodPost, "/orders", []byte(body), idempotencyKey)
		if err != nil || (resp.Status != http.StatusOK && !resp.NotExecuted) {
			o.outcomeUnknown = true
		}
		if err == nil && resp.Status == http.StatusOK {
			o.succeeded = true
			s.checkOrderResponse(body, resp)
			break
		}
		if err == nil {
			s.callerResults.countFailure(resp.Kind)
		}
	}
	s.callerResults.mu.Lock()
	defer s.callerResults.mu.Unlock()
	s.callerResults.orders = append(s.callerResults.orders, o)
}

// sendLimited sends a request of the client account with the low rate limit. It is sent more often than the limit
// allows.
func (s *soak) sendLimited(rng *rand.Rand, n int) {
	resp, err := s.newClient(s.randomHost(rng), s.limitedKey).Do(
		http.MethodPost, "/orders", fmt.Appendf(nil, "limited-%d", n))
	if err != nil {
		return
	}
	if resp.Status != http.StatusOK {
		s.callerResults.countFailure(resp.Kind)
		return
	}
	s.callerResults.mu.Lock()
	defer s.callerResults.mu.Unlock()
	s.callerResults.limitedSuccesses++
}
