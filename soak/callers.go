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
	// streamPause and orderPause are the mean times between two requests of one caller.
	streamPause = 120 * time.Millisecond
	orderPause  = 60 * time.Millisecond
	// callTime is how long a caller waits for a whole answer.
	callTime = 12 * time.Second
	// resends is how often an order whose outcome is unknown is sent again.
	resends = 6
	// histogramMost bounds the latencies that are recorded, in microseconds.
	histogramMost = int64(60 * time.Second / time.Microsecond)
)

// order is what the callers know of one order.
type order struct {
	body     string
	answered bool
	// unknown is true once a try ended without a clear answer or with one that promises nothing.
	unknown bool
}

// tally is what the callers saw.
type tally struct {
	mu      sync.Mutex
	orders  []*order
	streams int
	whole   int
	limited int
	refused map[string]int
	first   *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{refused: map[string]int{}, first: hdrhistogram.New(1, histogramMost, 3)}
}

func (t *tally) refuse(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[kind]++
}

// caller returns a client of a host, through its proxy.
func (s *soak) caller(h *Host, key string) *caller.Client {
	return &caller.Client{Addr: h.callersAddr, Key: key, Timeout: callTime}
}

func (s *soak) anyHost(rng *rand.Rand) *Host { return s.fleet.Hosts[rng.IntN(len(s.fleet.Hosts))] }

// work runs callers until the channel is closed.
func (s *soak) work(stop <-chan struct{}, rng *rand.Rand) {
	var all sync.WaitGroup
	every := func(pause time.Duration, call func(rng *rand.Rand, n int)) {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		all.Go(func() { s.repeat(stop, own, pause, func(n int) { call(own, n) }) })
	}
	for range 4 {
		every(streamPause, s.streamOnce)
	}
	for c := range 4 {
		every(orderPause, func(rng *rand.Rand, n int) { s.orderOnce(rng, fmt.Sprintf("order-%d-%d", c, n)) })
	}
	every(orderPause/4, s.limitedOnce)
	all.Wait()
}

// streamOnce asks for a stream and checks that what comes is its own answer, in order, and marked whole only at its end.
func (s *soak) streamOnce(rng *rand.Rand, _ int) {
	prompt := fmt.Sprintf("verse %d", rng.Uint64())
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, modelPool, prompt)
	st, err := s.caller(s.anyHost(rng), s.key).Stream("/v1/chat/completions", body, nil)
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	s.tally.streams++
	if err != nil {
		s.tally.refused["broken"]++
		return
	}
	if st.Kind != "" {
		s.tally.refused[st.Kind]++
	}
	want, err := wantedText(body, st.Tokens)
	s.check(err, "seed")
	if st.Text != want {
		s.broken("stream: %q got %d tokens that are not its own: %q, want %q", prompt, st.Tokens, st.Text, want)
	}
	if st.Whole && st.Kind == "" && st.Tokens != answerTokens {
		s.broken("stream: %q is marked whole after %d tokens", prompt, st.Tokens)
	}
	if st.Whole && st.Kind == "" {
		s.tally.whole++
		s.check(s.tally.first.RecordValue(st.First.Microseconds()), "histogram")
	}
}

// wantedText is the beginning of the answer that every engine gives to a body.
func wantedText(body []byte, tokens int) (string, error) {
	seed, err := engine.Seed(body)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Word(seed, core.Tokens(i)))
	}
	return b.String(), err
}

// orderOnce sends an order under a key of its own through any host, and again while its outcome is not known.
func (s *soak) orderOnce(rng *rand.Rand, body string) {
	o := &order{body: body}
	once := caller.Header{Name: "Idempotency-Key", Value: body}
	for range resends {
		a, err := s.caller(s.anyHost(rng), s.key).Do(http.MethodPost, "/orders", []byte(body), once)
		if err != nil || (a.Status != http.StatusOK && !a.NotRun) {
			o.unknown = true
		}
		if err == nil && a.Status == http.StatusOK {
			o.answered = true
			s.checkAnswer(body, a)
			break
		}
		if err == nil {
			s.tally.refuse(a.Kind)
		}
	}
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	s.tally.orders = append(s.tally.orders, o)
}

// limitedOnce sends a call of the account whose rate is small, as fast as it can.
func (s *soak) limitedOnce(rng *rand.Rand, n int) {
	a, err := s.caller(s.anyHost(rng), s.limitedKey).Do(http.MethodPost, "/orders", fmt.Appendf(nil, "limited-%d", n))
	if err != nil {
		return
	}
	if a.Status != http.StatusOK {
		s.tally.refuse(a.Kind)
		return
	}
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	s.tally.limited++
}
