package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
)

const (
	account        = "cards"
	limitedAccount = "limited"
	// limitedRate and limitedBurst are the small account's, in calls, which cost a token each.
	limitedRate  = 20
	limitedBurst = 20
	// recoverTime is how soon after the last fault every host must serve, from the users' bound for the platform.
	recoverTime = 12 * time.Second
	// readyTime bounds the start of a fleet, and checkTime the check of a history.
	readyTime = 30 * time.Second
	checkTime = 20 * time.Second
	// freeTime is how long engines may hold memory of callers that are gone: the longest wait of all, for the hosts' lists.
	freeTime  = 20 * time.Second
	pollPause = 50 * time.Millisecond
)

// Config is what a soak is like.
type Config struct {
	Seed uint64
	// Binary is the program that runs the hosts; Folder is empty and takes their data and logs.
	Binary string
	Folder string
	// Hosts is how many processes run, Length how long faults are injected.
	Hosts  int
	Length time.Duration
}

// Report is what a soak came to.
type Report struct {
	Seed uint64
	// Broken lists the promises that did not hold, and Events what was injected, with times from the start.
	Broken  []string
	Events  []string
	Orders  int
	Streams int
	Whole   int
	Changes int
	Refused map[string]int
	// FirstP50 and FirstP99 are the times to the first token of whole streams.
	FirstP50, FirstP99 time.Duration
}

type soak struct {
	config     Config
	began      time.Time
	fleet      *Fleet
	key        string
	limitedKey string
	tally      *tally
	ledger     *ledger

	mu     sync.Mutex
	report Report
}

// Run plays one soak. An error means that it could not be played; what it found is in the report.
func Run(c Config) (*Report, error) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(c.Hosts)))
	s := &soak{config: c, began: time.Now(), tally: newTally(), ledger: &ledger{began: time.Now()}, report: Report{Seed: c.Seed}}
	placement := "pool"
	if rng.IntN(2) == 0 {
		placement = "mixed"
	}
	var err error
	s.fleet, err = startFleet(c.Binary, c.Folder, c.Hosts, placement)
	defer s.fleet.Close()
	if err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	limitedSince := time.Now()
	var all sync.WaitGroup
	all.Go(func() { s.work(stop, rand.New(rand.NewPCG(c.Seed, 1))) })
	all.Go(func() { s.operate(stop, rand.New(rand.NewPCG(c.Seed, 2))) })
	s.inject(plan(rng, c.Hosts, len(s.fleet.engines)+1, c.Length))
	s.recovers()
	close(stop)
	all.Wait()
	s.judge(time.Since(limitedSince))
	return s.finish(), nil
}

// note keeps a line of what happened.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Events = append(s.report.Events, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// broken notes a promise that did not hold.
func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Broken = append(s.report.Broken, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// check notes an error of the soak itself as broken, so that it is not overlooked.
func (s *soak) check(err error, what string) {
	if err != nil {
		s.broken("soak: %s: %v", what, err)
	}
}

// configure makes the accounts, keys, routes and the model that the callers use.
func (s *soak) configure() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	var hashes [2]core.KeyHash
	for i, key := range []*string{&s.key, &s.limitedKey} {
		var err error
		if *key, hashes[i], err = operator.NewKey(); err != nil {
			return err
		}
	}
	changes := []*operator.Change{
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: account, Weight: 1, Rate: 1e6, Burst: 1e6}}},
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: limitedAccount, Weight: 1, Rate: limitedRate, Burst: limitedBurst}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "shop", Account: account, Hash: hashes[0][:]}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "limited", Account: limitedAccount, Hash: hashes[1][:]}}},
		{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: string(modelPool), MaxOutput: answerTokens}}},
		{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{Name: "orders", Path: "/orders", Pool: string(servicePool), TimeoutMillis: 2000, Cost: 1}}},
	}
	for _, c := range changes {
		for {
			call := s.ledger.at()
			v, err := s.fleet.Hosts[0].Operator().Change(ctx, c)
			if err == nil {
				s.ledger.add(0, versionInput{expect: v - 1}, versionOutput{version: v}, call)
				break
			}
			if ctx.Err() != nil {
				return errors.Wrap(err, "configure")
			}
			time.Sleep(pollPause)
		}
	}
	for _, h := range s.fleet.Hosts {
		if !s.serves(h, readyTime) {
			return errors.Newf("%s does not serve after its start", h.Name)
		}
	}
	return nil
}

// serves waits until a host answers an order and a whole stream.
func (s *soak) serves(h *Host, most time.Duration) bool {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"ready"}]}`, modelPool)
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(pollPause) {
		st, err := s.caller(h, s.key).Stream("/v1/chat/completions", body, nil)
		if err != nil || !st.Whole || st.Kind != "" {
			continue
		}
		a, err := s.caller(h, s.key).Do(http.MethodPost, "/orders", []byte("ready"))
		if err == nil && a.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// recovers checks that every host serves soon after the last fault.
func (s *soak) recovers() {
	s.note("all faults are over")
	var all sync.WaitGroup
	for _, h := range s.fleet.Hosts {
		all.Go(func() {
			if !s.serves(h, recoverTime) {
				s.broken("recovery: %s does not serve %v after the last fault", h.Name, recoverTime)
			}
		})
	}
	all.Wait()
}

// checkAnswer checks that an order's answer is its own.
func (s *soak) checkAnswer(body string, a caller.Answer) {
	var got service.Answer
	if err := json.Unmarshal(a.Body, &got); err != nil || got.Path != "/orders" {
		s.broken("order: %s got %q", body, a.Body)
	}
	if got.Run != 1 {
		s.broken("order: %s was answered by run %d", body, got.Run)
	}
}

// judge checks the promises that show only at the end.
func (s *soak) judge(limitedFor time.Duration) {
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	for _, o := range s.tally.orders {
		runs := s.fleet.service.Runs(o.body)
		switch {
		case runs > 1:
			s.broken("order: %s ran %d times", o.body, runs)
		case o.answered && runs == 0:
			s.broken("order: %s was answered and never ran", o.body)
		case !o.answered && !o.unknown && runs > 0:
			s.broken("order: %s ran, though every answer said that it had not", o.body)
		}
	}
	if most := limitedBurst + limitedRate*limitedFor.Seconds(); float64(s.tally.limited) > most {
		s.broken("rate: %d calls of the limited account in %v, at most %.0f", s.tally.limited, limitedFor, most)
	}
	if s.fleet.service.Leaked() > 0 || strings.Contains(s.fleet.service.Seen(), s.key) {
		s.broken("keys: the service saw a caller's key")
	}
	s.checkConfiguration()
	s.checkMemory()
}

// checkConfiguration checks that the configuration's history is that of one register, and that nothing acknowledged is gone.
func (s *soak) checkConfiguration() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if r := porcupine.CheckOperationsTimeout(versions, s.ledger.history, checkTime); r == porcupine.Illegal {
		s.broken("configuration: the operators' history is not that of one configuration")
	}
	ctx, cancel := commandContext()
	defer cancel()
	status, err := s.fleet.Hosts[0].Operator().Status(ctx)
	if err != nil {
		s.broken("configuration: no status at the end: %v", err)
		return
	}
	there := map[string]bool{}
	for _, m := range status.GetModels() {
		there[m.GetId()] = true
	}
	for _, m := range s.ledger.models {
		if !there[m] {
			s.broken("configuration: %s was acknowledged and is gone", m)
		}
	}
}

// checkMemory checks that no engine holds memory once every caller is gone.
func (s *soak) checkMemory() {
	for _, e := range s.fleet.engines {
		for end := time.Now().Add(freeTime); len(e.Held()) > 0; time.Sleep(pollPause) {
			if time.Now().After(end) {
				s.broken("memory: %s still holds %v", e.Announced().ID, e.Held())
				break
			}
		}
	}
}

func (s *soak) finish() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Orders, r.Streams, r.Whole, r.Refused = len(s.tally.orders), s.tally.streams, s.tally.whole, s.tally.refused
	r.Changes = len(s.ledger.models)
	r.FirstP50 = time.Duration(s.tally.first.ValueAtQuantile(50)) * time.Microsecond
	r.FirstP99 = time.Duration(s.tally.first.ValueAtQuantile(99)) * time.Microsecond
	return &r
}
