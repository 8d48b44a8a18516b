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
	// limitedRate (per second) and limitedBurst are the quota of limitedAccount. Each of its requests costs one token.
	limitedRate  = 20
	limitedBurst = 20
	// recoveryTimeout is the time after the last fault within which every host must serve requests again. It is the
	// recovery time that users require of the platform.
	recoveryTimeout = 12 * time.Second
	// startTimeout limits the start of a fleet, and historyCheckTimeout the linearizability check.
	startTimeout        = 30 * time.Second
	historyCheckTimeout = 20 * time.Second
	// memoryReleaseTimeout is how long engines may hold memory for requests whose callers disconnected. The slowest
	// release waits for the hosts' lists of active attempts.
	memoryReleaseTimeout = 20 * time.Second
	pollInterval         = 50 * time.Millisecond
)

// Config has the parameters of a soak run.
type Config struct {
	Seed uint64
	// Binary is the path of the oleanderlever program. Dir is an empty directory for the data and logs of the hosts.
	Binary string
	Dir    string
	// Hosts is the number of host processes, FaultDuration the time during which faults are injected.
	Hosts         int
	FaultDuration time.Duration
}

// Report is the result of a soak run.
type Report struct {
	Seed uint64
	// Violations lists the violated guarantees, Events the injected faults and the failed changes. Each line begins with
	// the seconds since the start.
	Violations      []string
	Events          []string
	Orders          int
	Streams         int
	CompleteStreams int
	Changes         int
	FailuresByKind  map[string]int
	// FirstTokenP50 and FirstTokenP99 are quantiles of the time to first token of complete streams.
	FirstTokenP50, FirstTokenP99 time.Duration
}

// soak is the state of one soak run.
type soak struct {
	config        Config
	start         time.Time
	fleet         *Fleet
	key           string
	limitedKey    string
	callerResults *callerResults
	configHistory *configHistory

	mu     sync.Mutex
	report Report
}

// Run executes one soak run. It returns an error only if the run could not start; violations are in the report.
func Run(c Config) (*Report, error) {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(c.Hosts)))
	s := &soak{
		config: c, start: time.Now(), callerResults: newCallerResults(), configHistory: &configHistory{start: time.Now()},
		report: Report{Seed: c.Seed},
	}
	placement := "pool"
	if rng.IntN(2) == 0 {
		placement = "mixed"
	}
	var err error
	s.fleet, err = startFleet(c.Binary, c.Dir, c.Hosts, placement)
	defer s.fleet.Close()
	if err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	limitedSince := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { s.runCallers(stop, rand.New(rand.NewPCG(c.Seed, 1))) })
	wg.Go(func() { s.runOperators(stop, rand.New(rand.NewPCG(c.Seed, 2))) })
	s.inject(planFaults(rng, c.Hosts, len(s.fleet.engines)+1, c.FaultDuration))
	s.checkRecovery()
	close(stop)
	wg.Wait()
	s.checkFinalState(time.Since(limitedSince))
	return s.buildReport(), nil
}

// logEvent adds a line to the events of the report.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Events = append(s.report.Events,
		fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// reportViolation adds a violated guarantee to the report.
func (s *soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations,
		fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// checkError reports an error of the soak run itself as a violation, so that it is not overlooked.
func (s *soak) checkError(err error, operation string) {
	if err != nil {
		s.reportViolation("soak: %s: %v", operation, err)
	}
}

// configure creates the client accounts, keys, routes and the model that the callers use, and waits until every host
// serves requests.
func (s *soak) configure() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
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
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{
			Id: limitedAccount, Weight: 1, Rate: limitedRate, Burst: limitedBurst,
		}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "shop", Account: account, Hash: hashes[0][:]}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "limited", Account: limitedAccount, Hash: hashes[1][:]}}},
		{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: string(modelPool), MaxOutput: outputTokens}}},
		{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{
			Name: "orders", Path: "/orders", Pool: string(servicePool), TimeoutMillis: 2000, Cost: 1,
		}}},
	}
	for _, c := range changes {
		for {
			call := s.configHistory.elapsed()
			v, err := s.fleet.Hosts[0].Operator().Change(ctx, c)
			if err == nil {
				s.configHistory.record(0, versionInput{expected: v - 1}, versionOutput{version: v}, call)
				break
			}
			if ctx.Err() != nil {
				return errors.Wrap(err, "configure")
			}
			time.Sleep(pollInterval)
		}
	}
	for _, h := range s.fleet.Hosts {
		if !s.waitServing(h, startTimeout) {
			return errors.Newf("%s does not serve requests after its start", h.Name)
		}
	}
	return nil
}

// waitServing waits until a host serves a complete stream and an order, and reports whether it did within the timeout.
func (s *soak) waitServing(h *Host, timeout time.Duration) bool {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"ready"}]}`, modelPool)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		stream, err := s.newClient(h, s.key).Stream("/v1/chat/completions", body, nil)
		if err != nil || !stream.Complete || stream.Kind != "" {
			continue
		}
		resp, err := s.newClient(h, s.key).Do(http.MethodPost, "/orders", []byte("ready"))
		if err == nil && resp.Status == http.StatusOK {
			return true
		}
	}
	return false
}

// checkRecovery checks that every host serves requests soon after the last fault.
func (s *soak) checkRecovery() {
	s.logEvent("all faults have ended")
	var wg sync.WaitGroup
	for _, h := range s.fleet.Hosts {
		wg.Go(func() {
			if !s.waitServing(h, recoveryTimeout) {
				s.reportViolation("recovery: %s does not serve requests %v after the last fault", h.Name, recoveryTimeout)
			}
		})
	}
	wg.Wait()
}

// checkOrderResponse checks that the response to an order has the order's path and comes from its first execution.
func (s *soak) checkOrderResponse(body string, resp caller.Response) {
	var got service.Response
	if err := json.Unmarshal(resp.Body, &got); err != nil || got.Path != "/orders" {
		s.reportViolation("order: %s received the response %q", body, resp.Body)
	}
	if got.CallCount != 1 {
		s.reportViolation("order: %s received the response of execution %d", body, got.CallCount)
	}
}

// checkFinalState checks the guarantees that can be checked only after the run.
func (s *soak) checkFinalState(limitedDuration time.Duration) {
	s.callerResults.mu.Lock()
	defer s.callerResults.mu.Unlock()
	for _, o := range s.callerResults.orders {
		executions := s.fleet.service.CallCount(o.body)
		switch {
		case executions > 1:
			s.reportViolation("order: %s was executed %d times", o.body, executions)
		case o.succeeded && executions == 0:
			s.reportViolation("order: %s succeeded but was never executed", o.body)
		case !o.succeeded && !o.outcomeUnknown && executions > 0:
			s.reportViolation("order: %s was executed, but every response was marked as not executed", o.body)
		}
	}
	if limit := limitedBurst + limitedRate*limitedDuration.Seconds(); float64(s.callerResults.limitedSuccesses) > limit {
		s.reportViolation("rate: %d requests of the limited account succeeded in %v, want at most %.0f",
			s.callerResults.limitedSuccesses, limitedDuration, limit)
	}
	if s.fleet.service.ForeignCredentials() > 0 || strings.Contains(s.fleet.service.RecentRequests(), s.key) {
		s.reportViolation("keys: the service received an API key of a caller")
	}
	s.checkConfiguration()
	s.checkMemory()
}

// checkConfiguration checks that the history of the configuration is linearizable, and that no acknowledged change was
// lost.
func (s *soak) checkConfiguration() {
	s.configHistory.mu.Lock()
	defer s.configHistory.mu.Unlock()
	if r := porcupine.CheckOperationsTimeout(
		versionModel, s.configHistory.operations, historyCheckTimeout); r == porcupine.Illegal {
		s.reportViolation("configuration: the history of the operators is not linearizable")
	}
	ctx, cancel := commandContext()
	defer cancel()
	status, err := s.fleet.Hosts[0].Operator().Status(ctx)
	if err != nil {
		s.reportViolation("configuration: status request after the run failed: %v", err)
		return
	}
	present := map[string]bool{}
	for _, m := range status.GetModels() {
		present[m.GetId()] = true
	}
	for _, m := range s.configHistory.acknowledgedModels {
		if !present[m] {
			s.reportViolation("configuration: %s was acknowledged but is missing", m)
		}
	}
}

// checkMemory checks that the engines release all memory once every caller has disconnected.
func (s *soak) checkMemory() {
	for _, e := range s.fleet.engines {
		for deadline := time.Now().Add(memoryReleaseTimeout); len(e.ActiveAttempts()) > 0; time.Sleep(pollInterval) {
			if time.Now().After(deadline) {
				s.reportViolation("memory: %s still holds %v", e.Announcement().ID, e.ActiveAttempts())
				break
			}
		}
	}
}

func (s *soak) buildReport() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Orders, r.Streams, r.CompleteStreams, r.FailuresByKind = len(s.callerResults.orders),
		s.callerResults.streams, s.callerResults.completeStreams, s.callerResults.failures
	r.Changes = len(s.configHistory.acknowledgedModels)
	r.FirstTokenP50 = time.Duration(s.callerResults.firstToken.ValueAtQuantile(50)) * time.Microsecond
	r.FirstTokenP99 = time.Duration(s.callerResults.firstToken.ValueAtQuantile(99)) * time.Microsecond
	return &r
}
