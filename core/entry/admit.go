package entry

import (
	"time"

	"oleanderlever/core"
)

// admission holds what the configuration determines for a request.
type admission struct {
	account core.Account
	pool    core.PoolID
	route   core.Route
	// unary requests get a single response, the others a stream of tokens or events.
	unary bool
	// plainService requests go to a pool without engines, where no engine memory is reserved.
	plainService bool
	// outputLimit is the maximum number of output tokens. cost is the number of tokens charged to the account's quota.
	outputLimit core.Tokens
	cost        core.Tokens
	// regions are those in which the request may run; none means anywhere.
	regions []core.Region
}

// Authenticate returns the client account of an API key, or the reason for a refusal. It refuses every key once the
// configuration lease has expired, since the key may have been revoked meanwhile.
func Authenticate(config *core.Config, leaseExpires, now time.Time, key core.KeyHash, hasKey bool) (core.Account, *core.Failure) {
	if !now.Before(leaseExpires) {
		return core.Account{}, core.Fail(core.KindNotReady, "the host's configuration lease has expired or is missing")
	}
	if !hasKey {
		return core.Account{}, core.Fail(core.KindNoKey, "the API key is missing; send it as Authorization: Bearer")
	}
	k, ok := config.KeyByHash(key)
	if !ok {
		return core.Account{}, core.Fail(core.KindBadKey, "the API key is unknown or revoked")
	}
	a, ok := config.Account(k.Account)
	if !ok {
		return core.Account{}, core.Fail(core.KindBadKey, "the API key's client account no longer exists")
	}
	return a, nil
}

// admit checks a request that arrived at the given time against the configuration and selects its pool. On routes with
// an end-to-end timeout it lowers the request's deadline.
func (c *component) admit(t *core.Turn, r *core.Request, arrived time.Time) (admission, *core.Failure) {
	if r.Model != "" {
		return c.admitModel(t, r)
	}
	route, ok := c.config.MatchRoute(r.Host, r.Path)
	if !ok && c.config.Version == 0 {
		return admission{}, noConfigFailure()
	}
	if !ok {
		return admission{}, core.Fail(core.KindNoRoute, "no route matches path %q", r.Path)
	}
	a := admission{pool: route.PickPool(c.rand.Float64()), route: route, unary: !route.Streaming, outputLimit: r.MaxOutput, cost: route.Cost}
	pool, ok := c.config.Pool(a.pool)
	a.plainService = !ok || pool.Engine == nil
	if route.EndToEndTimeout {
		r.Deadline = core.Earlier(r.Deadline, arrived.Add(route.Timeout))
	}
	if route.Public {
		return a, a.restrict()
	}
	account, f := Authenticate(c.config, c.leaseExpires, t.Now, r.KeyHash, r.HasKey)
	if f != nil {
		return a, f
	}
	if !core.AllowsAccount(route.Accounts, account.ID) {
		return a, core.Fail(core.KindForbidden, "the client account is not allowed to use route %s", route.Name)
	}
	a.account = account
	a.cost = requestCost(&account, &route, r)
	return a, a.restrict()
}

func noConfigFailure() *core.Failure {
	return core.Fail(core.KindNotReady, "the host has no configuration yet")
}

// requestCost returns the number of tokens charged to the account's bucket for a request on a route.
func requestCost(a *core.Account, route *core.Route, r *core.Request) core.Tokens {
	tokenCount := r.PromptTokens + r.MaxOutput
	switch {
	case tokenCount > 0 && !a.FlatCost:
		return tokenCount
	case a.RequestCost > 0:
		return a.RequestCost
	}
	return route.Cost
}

func (c *component) admitModel(t *core.Turn, r *core.Request) (admission, *core.Failure) {
	account, f := Authenticate(c.config, c.leaseExpires, t.Now, r.KeyHash, r.HasKey)
	if f != nil {
		return admission{}, f
	}
	m, ok := c.config.Model(r.Model)
	if !ok {
		return admission{}, core.Fail(core.KindUnknownModel, "unknown model %q", r.Model)
	}
	if !core.AllowsAccount(m.Accounts, account.ID) {
		return admission{}, core.Fail(core.KindForbidden, "the client account is not allowed to use model %s", m.ID)
	}
	a := admission{account: account, pool: m.ID, outputLimit: m.MaxOutput}
	if r.MaxOutput > 0 {
		a.outputLimit = min(a.outputLimit, r.MaxOutput)
	}
	a.cost = r.PromptTokens + a.outputLimit
	return a, a.restrict()
}

// recordKey returns the key of the request's idempotency record. It is empty for requests that need none: streams,
// calls on idempotent routes, and calls without an Idempotency-Key header.
func recordKey(a *admission, r *core.Request) core.IdempotencyKey {
	if !a.unary || a.route.Idempotent || r.IdempotencyKey == "" {
		return ""
	}
	return core.IdempotencyKey(string(a.account.ID) + "/" + a.route.Name + "/" + r.IdempotencyKey)
}
