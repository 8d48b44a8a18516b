package replay

import (
	"fmt"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/config"
	"oleanderlever/core/dispatch"
	"oleanderlever/core/entry"
	"oleanderlever/core/harness"
	"oleanderlever/core/lease"
	"oleanderlever/core/member"
	"oleanderlever/core/once"
	"oleanderlever/core/order"
	"oleanderlever/core/quota"
	"oleanderlever/core/replica"
)

// The pools of all traces.
const (
	modelPool   = core.PoolID("model")
	servicePool = core.PoolID("desk")
)

// warmUp is the time between the start of a run and the first request, drain the time after the end of the trace.
const (
	warmUp = 8 * time.Second
	drain  = 100 * time.Second
)

// runner is one run of a trace.
type runner struct {
	*harness.Run
	upstreams *harness.FakeUpstreams
	operator  *harness.Operator
	host      *harness.Host
	trace     *Trace
	startedAt time.Time
}

func plugins(baseline bool) []core.Plugin {
	all := []core.Plugin{
		replica.Plugin(replica.UnsafeOptions{}), config.Plugin(), lease.Plugin(), member.Plugin(), quota.Plugin(false), once.Plugin(),
		entry.Plugin(false),
	}
	if baseline {
		return append(all, naivePlugin())
	}
	return append(all, dispatch.Plugin(), order.Plugin())
}

// Play runs a trace through the core; baseline replaces the dispatcher with the naive one.
func Play(t *Trace, baseline bool) *Result {
	r := startRunner(t, baseline)
	for i := range t.Lines {
		l := &t.Lines[i]
		r.RunFor(l.At - r.Now.Sub(r.startedAt))
		r.apply(l)
	}
	r.RunFor(t.Duration - r.Now.Sub(r.startedAt) + drain)
	return r.result()
}

func startRunner(t *Trace, baseline bool) *runner {
	run := harness.New(harness.Config{
		Seed: t.Seed, Hosts: 1, Replicas: 1, MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond,
		SyncTime: time.Millisecond, Plugins: plugins(baseline),
	})
	r := &runner{Run: run, upstreams: harness.NewFakeUpstreams(run), operator: harness.NewOperator(run), host: run.Hosts[0], trace: t}
	run.OnAction = func(h *harness.Host, a core.Action) {
		r.operator.Observe(a)
		r.upstreams.Perform(h, a)
	}
	r.RunFor(time.Second)
	r.configure()
	r.addUpstreams()
	r.RunFor(warmUp)
	r.startedAt = r.Now
	return r
}

// keyHash returns the API key hash of the account with the given index.
func keyHash(n int) core.KeyHash { return core.KeyHash{byte(n + 1), 1} }

func (r *runner) configure() {
	const timeout = 10 * time.Second
	changes := []core.Change{
		{Kind: core.ChangePutPolicy, Policy: core.UpstreamPolicy{Pool: modelPool, ChecksFencing: true, AutoRoles: true}},
		{Kind: core.ChangePutModel, Model: core.Model{ID: modelPool, MaxOutput: maxOutput}},
		{Kind: core.ChangePutRoute, Route: core.Route{Name: "orders", Path: "/orders", Pool: servicePool, Timeout: timeout}},
		{Kind: core.ChangePutRoute, Route: core.Route{Name: "menu", Path: "/menu", Pool: servicePool, Timeout: timeout, Idempotent: true}},
	}
	for n, a := range r.trace.Accounts {
		account := core.Account{ID: a.ID, Weight: a.Weight, Rate: a.Rate, Burst: a.Burst}
		changes = append(changes,
			core.Change{Kind: core.ChangePutAccount, Account: account},
			core.Change{Kind: core.ChangeAddKey, Key: core.APIKey{ID: core.KeyID(a.ID), Account: a.ID, Hash: keyHash(n)}})
	}
	for n, c := range changes {
		r.operator.Send(r.host, core.Command{ExpectedVersion: core.ConfigVersion(n), Change: c})
		r.RunFor(50 * time.Millisecond)
	}
}

func (r *runner) addUpstreams() {
	f := &r.trace.Fleet
	c := harness.EngineConfig{
		Pool: modelPool, Slots: f.Slots, Pages: f.Pages, PrefillPerToken: f.PrefillPerToken, TokenInterval: f.TokenInterval,
		KVHandleTTL: f.KVHandleTTL, LinkRate: f.LinkRate, ReportDelay: f.ReportDelay, ReportLossRate: f.ReportLossRate, CacheBlocks: f.CacheBlocks,
	}
	for n := range f.PrefillEngines + f.DecodeEngines {
		c.Role = core.RolePrefill
		if n >= f.PrefillEngines {
			c.Role = core.RoleDecode
		}
		r.upstreams.AddEngine(c)
	}
	for range f.Services {
		r.upstreams.AddService(servicePool, f.ServiceTime)
	}
}

func (r *runner) apply(l *Line) {
	switch l.Kind {
	case KindModel:
		r.submitModel(l)
	case KindNonIdempotentCall:
		r.submit(l, core.Request{Path: "/orders", IdempotencyKey: l.IdempotencyKey, ContentHash: 1}, harness.Spec{Content: l.IdempotencyKey})
	case KindIdempotentCall:
		r.submit(l, core.Request{Path: "/menu"}, harness.Spec{Content: "menu"})
	case KindKill:
		r.upstreams.Engines[l.Engine].Kill()
	case KindRestart:
		r.upstreams.Engines[l.Engine].Restart()
	case KindBreakConnections:
		r.upstreams.Engines[l.Engine].BreakConnections()
	case KindDisconnect:
		for _, x := range r.upstreams.Arrivals {
			r.upstreams.Disconnect(x)
		}
	}
}

func (r *runner) submitModel(l *Line) {
	q := core.Request{Model: modelPool, PromptTokens: l.PromptTokens, MaxOutput: l.MaxTokens, PrefixHashes: prefixHashes(l, len(r.upstreams.Arrivals))}
	x := r.submit(l, q, harness.Spec{PromptLength: l.PromptTokens, OutputLength: l.OutputTokens, SharedLength: l.SharedTokens})
	if l.DisconnectAfter > 0 {
		r.After(l.DisconnectAfter, func() { r.upstreams.Disconnect(x) })
	}
}

func (r *runner) submit(l *Line, q core.Request, s harness.Spec) *harness.Exchange {
	for n, a := range r.trace.Accounts {
		if a.ID == l.Account {
			q.KeyHash, q.HasKey = keyHash(n), true
		}
	}
	return r.upstreams.Submit(r.host, l.Account, q, s)
}

// prefixHashes returns the prefix hashes of a prompt: those of the shared prefix depend on the prefix only, the others
// on the request too.
func prefixHashes(l *Line, request int) []uint64 {
	var out []uint64
	for n := core.Tokens(1); n*core.PrefixBlockTokens <= l.PromptTokens; n++ {
		b := uint64(request+1)<<24 | uint64(n)
		if n*core.PrefixBlockTokens <= l.SharedTokens {
			b = uint64(l.PrefixID)<<48 | uint64(n)
		}
		out = append(out, b)
	}
	return out
}

// violations lists the invariant violations: those of the exchanges, attempts that engines still hold, calls that ran
// twice and reservations left in the kernel.
func (r *runner) violations() []string {
	out := r.upstreams.Violations
	for _, e := range r.upstreams.Engines {
		if held := e.ActiveAttempts(); len(held) > 0 {
			out = append(out, fmt.Sprintf("%s still holds memory for %v", e.ID, held))
		}
	}
	for _, x := range r.upstreams.Arrivals {
		if x.Responses == 0 {
			out = append(out, fmt.Sprintf("%s got no response", x.ID))
		}
	}
	for content, runs := range r.upstreams.CallCounts {
		if content != "menu" && runs > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", content, runs))
		}
	}
	r.host.Kernel.Gauges(func(name string, value int64) {
		if value != 0 && (name == "dispatch.placed" || name == "dispatch.queued" || name == "entry.requests") {
			out = append(out, fmt.Sprintf("%s is %d", name, value))
		}
	})
	return out
}
