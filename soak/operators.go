package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"oleanderlever/core"
	"oleanderlever/io/operator"
)

const (
	// meanChangeInterval is the mean time between two changes of one operator, meanReadInterval between two reads.
	meanChangeInterval = 300 * time.Millisecond
	meanReadInterval   = 150 * time.Millisecond
	// commandTimeout limits the time that an operator spends on one command, retries included.
	commandTimeout = 30 * time.Second
	// meanRevokeInterval is the mean time between two API keys that are added and revoked.
	meanRevokeInterval = 2 * time.Second
)

// versionInput is a change that expects a configuration version, or a read of the version.
type versionInput struct {
	read     bool
	expected core.ConfigVersion
}

// versionOutput is the resulting version, a version conflict, or an unknown outcome.
type versionOutput struct {
	version  core.ConfigVersion
	conflict bool
	unknown  bool
}

// versionModel models the configuration as a single register for the linearizability check: a change that expects the
// latest version creates the next one, any other change conflicts, and a read returns the latest version.
var versionModel = porcupine.Model{
	Init: func() any { return core.ConfigVersion(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(core.ConfigVersion), input.(versionInput), output.(versionOutput)
		switch {
		case in.read:
			return out.version == current, current
		case out.unknown && in.expected == current:
			return true, current + 1
		case out.unknown:
			return true, current
		case out.conflict:
			return in.expected != current, current
		}
		return in.expected == current && out.version == current+1, current + 1
	},
}

// configHistory records the changes and reads of the configuration as the operators observed them.
type configHistory struct {
	mu                 sync.Mutex
	start              time.Time
	operations         []porcupine.Operation
	acknowledgedModels []string
}

func (h *configHistory) elapsed() int64 { return time.Since(h.start).Nanoseconds() }

func (h *configHistory) record(client int, in versionInput, out versionOutput, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.elapsed()
	if out.unknown {
		// The change may take effect at any later time or never. The check treats never as after all other operations.
		end = math.MaxInt64
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Output: out, Call: call, Return: end,
	})
}

// runOperators lets operators change and read the configuration until stop is closed.
func (s *soak) runOperators(stop <-chan struct{}, rng *rand.Rand) {
	var wg sync.WaitGroup
	for client := range 2 {
		clientRand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() {
			s.repeatAtRandom(stop, clientRand, meanChangeInterval, func(n int) { s.addModel(clientRand, client, n) })
		})
	}
	readerRand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	wg.Go(func() {
		s.repeatAtRandom(stop, readerRand, meanReadInterval, func(int) { s.readVersion(readerRand, 2) })
	})
	keyRand := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	wg.Go(func() { s.repeatAtRandom(stop, keyRand, meanRevokeInterval, func(n int) { s.revokeKey(keyRand, n) }) })
	wg.Wait()
}

// repeatAtRandom calls a function after exponentially distributed intervals until stop is closed.
func (s *soak) repeatAtRandom(stop <-chan struct{}, rng *rand.Rand, meanInterval time.Duration, call func(n int)) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanInterval))):
		}
		call(n)
	}
}

func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

// applyChange makes one change that expects the version in a host's status, and records the outcome. It returns true
// if the change was acknowledged.
func (s *soak) applyChange(h *Host, client int, c *operator.Change) bool {
	ctx, cancel := commandContext()
	defer cancel()
	status, err := h.Operator().Status(ctx)
	if err != nil {
		return false
	}
	in, call := versionInput{expected: core.ConfigVersion(status.GetVersion())}, s.configHistory.elapsed()
	v, err := h.Operator().Apply(ctx, in.expected, c)
	kind, known := operator.KindOf(err)
	switch {
	case err == nil:
		s.configHistory.record(client, in, versionOutput{version: v}, call)
		return true
	case known && kind == core.KindVersionConflict:
		s.configHistory.record(client, in, versionOutput{conflict: true}, call)
	default:
		s.logEvent("operator %d: change that expects version %d: %v", client, in.expected, err)
		s.configHistory.record(client, in, versionOutput{unknown: true}, call)
	}
	return false
}

// addModel adds a model. The final check looks for it, to detect acknowledged changes that were lost.
func (s *soak) addModel(rng *rand.Rand, client, n int) {
	name := fmt.Sprintf("model-%d-%d", client, n)
	change := &operator.Change{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: name, MaxOutput: 8}}}
	if s.applyChange(s.randomHost(rng), client, change) {
		s.configHistory.mu.Lock()
		s.configHistory.acknowledgedModels = append(s.configHistory.acknowledgedModels, name)
		s.configHistory.mu.Unlock()
	}
}

func (s *soak) readVersion(rng *rand.Rand, client int) {
	ctx, cancel := commandContext()
	defer cancel()
	call := s.configHistory.elapsed()
	status, err := s.randomHost(rng).Operator().Status(ctx)
	if err == nil {
		s.configHistory.record(
			client, versionInput{read: true}, versionOutput{version: core.ConfigVersion(status.GetVersion())}, call)
	}
}

// revokeKey adds an API key to a client account, revokes it, and checks that no host accepts the key once the
// revocation is active.
func (s *soak) revokeKey(rng *rand.Rand, n int) {
	const client = 3
	key, hash, err := operator.NewKey()
	s.checkError(err, "key")
	h, id := s.randomHost(rng), fmt.Sprintf("short-%d", n)
	add := &operator.Change{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: id, Account: account, Hash: hash[:]}}}
	if !s.applyChange(h, client, add) ||
		!s.applyChange(h, client, &operator.Change{Change: &operator.Change_WithdrawKey{WithdrawKey: id}}) {
		return
	}
	ctx, cancel := commandContext()
	defer cancel()
	status, err := h.Operator().Status(ctx)
	if err != nil {
		return
	}
	if _, err := h.Operator().WaitUntilActive(ctx, core.ConfigVersion(status.GetVersion())); err != nil {
		return
	}
	for _, h := range s.fleet.Hosts {
		resp, err := s.newClient(h, key).Do(http.MethodPost, "/orders", []byte("withdrawn"))
		if err == nil && resp.Status == http.StatusOK {
			s.reportViolation("revocation: %s accepted key %s after its revocation was active", h.Name, id)
		}
	}
}
