package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// KeyHash is the SHA-256 of an API key; the core never sees the key itself.
type KeyHash [32]byte

// Account is a client account with its weight, rate limit and priority.
type Account struct {
	ID AccountID `cbor:"id" json:"id"`
	// Weight is the account's share of a busy pool relative to other accounts, from 1.
	Weight int `cbor:"weight" json:"weight"`
	// Rate is the number of tokens per second that the account may use on all hosts together.
	Rate Tokens `cbor:"rate" json:"rate"`
	// Burst is the capacity of the account's token bucket.
	Burst Tokens `cbor:"burst" json:"burst"`
	// Unlimited exempts the account from Rate and Burst.
	Unlimited bool `cbor:"unlimited" json:"unlimited"`
	// RequestCost is the number of tokens charged for a request without token counts; zero means the route's Cost.
	RequestCost Tokens `cbor:"callCost" json:"callCost"`
	// FlatCost charges RequestCost for every request, including those with token counts.
	FlatCost bool `cbor:"byCall" json:"byCall"`
	// Priority overrides the route's priority if it is set; lower numbers are more urgent (NewPriority).
	Priority *int `cbor:"priority,omitempty" json:"priority,omitempty"`
}

// APIKey authenticates its bearer as a client account.
type APIKey struct {
	ID      KeyID     `cbor:"id"      json:"id"`
	Account AccountID `cbor:"account" json:"account"`
	Hash    KeyHash   `cbor:"hash"    json:"-"`
}

// Route maps a host name and a path prefix to one or more pools.
type Route struct {
	Name string `cbor:"name" json:"name"`
	// Host is the host name that the request must have; empty matches any.
	Host string `cbor:"host,omitempty" json:"host,omitempty"`
	// Path is the path prefix to match, such as "/orders".
	Path string `cbor:"path" json:"path"`
	Pool PoolID `cbor:"pool" json:"pool"`
	// WeightedPools splits the route's traffic between pools; if it is set, Pool is ignored.
	WeightedPools []WeightedPool `cbor:"shares,omitempty" json:"shares,omitempty"`
	// Public routes need no API key.
	Public bool `cbor:"open" json:"open"`
	// Idempotent requests may be retried; others run at most once.
	Idempotent bool `cbor:"repeatable" json:"repeatable"`
	// Accounts lists the accounts that may use the route; empty means all.
	Accounts []AccountID `cbor:"accounts" json:"accounts"`
	// Cost is the number of tokens charged for a request unless it has token counts or its account a RequestCost.
	Cost    Tokens        `cbor:"cost"    json:"cost"`
	Timeout time.Duration `cbor:"timeout" json:"timeout"`
	// EndToEndTimeout makes Timeout cover all attempts, from the request's arrival to the end of the response.
	EndToEndTimeout bool `cbor:"whole,omitempty" json:"whole,omitempty"`
	// MaxAttempts limits the attempts of one request; zero means the entry host's default.
	MaxAttempts int `cbor:"attempts,omitempty" json:"attempts,omitempty"`
	// Streaming routes respond with numbered events, which are relayed as they arrive.
	Streaming bool `cbor:"stream,omitempty" json:"stream,omitempty"`
	// Resumable streams may continue on another upstream after the last event that the caller received.
	Resumable bool `cbor:"resumable,omitempty" json:"resumable,omitempty"`
	// LatencyTarget is the target time to the response, or to a stream's first event; zero means none.
	LatencyTarget time.Duration `cbor:"target,omitempty" json:"target,omitempty"`
	// EventGapTarget is the target for the longest pause between two events of a stream; it bounds how long its caller waits
	// for an event.
	EventGapTarget time.Duration `cbor:"gap,omitempty" json:"gap,omitempty"`
	// Priority ranks the requests of a pool, lower numbers are more urgent (NewPriority).
	Priority int `cbor:"priority,omitempty" json:"priority,omitempty"`
}

// WeightedPool is a pool with its share of a route's traffic.
type WeightedPool struct {
	Pool   PoolID `cbor:"pool"   json:"pool"`
	Weight int    `cbor:"weight" json:"weight"`
}

// weightedPools returns the route's pools with their weights.
func (r *Route) weightedPools() []WeightedPool {
	if len(r.WeightedPools) == 0 {
		return []WeightedPool{{Pool: r.Pool, Weight: 1}}
	}
	return r.WeightedPools
}

// PickPool picks a pool at random in proportion to the weights; sample is a uniform random number in [0, 1).
func (r *Route) PickPool(sample float64) PoolID {
	pools, total := r.weightedPools(), 0
	for _, pool := range pools {
		total += pool.Weight
	}
	remaining := int(sample * float64(total))
	for _, pool := range pools {
		if remaining -= pool.Weight; remaining < 0 {
			return pool.Pool
		}
	}
	return pools[0].Pool
}

// Model is a model that callers may request by name; its ID is also the ID of its pool.
type Model struct {
	ID PoolID `cbor:"id" json:"id"`
	// MaxOutput limits the output tokens of one request and is the default if the caller sets no limit.
	MaxOutput Tokens `cbor:"maxOutput" json:"maxOutput"`
	// Accounts lists the accounts that may use the model; empty means all.
	Accounts []AccountID `cbor:"accounts" json:"accounts"`
}

// UpstreamPolicy states which checks a pool's upstreams make and how the system may manage them.
type UpstreamPolicy struct {
	Pool PoolID `cbor:"pool" json:"pool"`
	// ChecksSender says that the upstreams reject assign requests from any other sender than this system.
	ChecksSender bool `cbor:"checksSender" json:"checksSender"`
	// ChecksFencing says that the upstreams reject assign requests with an outdated fencing token.
	ChecksFencing bool `cbor:"checksFencing" json:"checksFencing"`
	// AutoRoles lets the system move engines between prefill and decode as the load shifts.
	AutoRoles bool `cbor:"autoRoles" json:"autoRoles"`
	// Drained lists upstreams that get no new work.
	Drained []UpstreamID `cbor:"drained" json:"drained"`
}

// Assignment is the desired state of an engine. The leader sends it to an engine that announces another state.
type Assignment struct {
	Upstream UpstreamID `cbor:"upstream" json:"upstream"`
	Pool     PoolID     `cbor:"pool"     json:"pool"`
	Role     Role       `cbor:"role"     json:"role"`
	// ModelVersion names the model weights and Adapter what is loaded on top of them; empty matches any.
	ModelVersion string `cbor:"version" json:"version"`
	Adapter      string `cbor:"adapter" json:"adapter"`
}

// SatisfiedBy reports whether an engine already announces the assigned state.
func (a *Assignment) SatisfiedBy(announced *Announcement) bool {
	return a.Pool == announced.Pool && a.Role == announced.Role &&
		(a.ModelVersion == "" || a.ModelVersion == announced.ModelVersion) && (a.Adapter == "" || a.Adapter == announced.Adapter)
}

// ChangeKind selects the field of a Change that is set.
type ChangeKind uint8

// The kinds of configuration change.
const (
	ChangePutAccount ChangeKind = iota + 1
	ChangeDeleteAccount
	ChangeAddKey
	ChangeRevokeKey
	ChangePutRoute
	ChangeDeleteRoute
	ChangePutModel
	ChangeDeleteModel
	ChangePutPolicy
	ChangePutAssignment
	ChangeDeleteAssignment
	// ChangeReplaceConfig replaces the parts of the configuration that a document has, if its revision is higher than
	// the current one.
	ChangeReplaceConfig
)

var changeNames = map[ChangeKind]string{
	ChangePutAccount: "putAccount", ChangeDeleteAccount: "deleteAccount",
	ChangeAddKey: "addKey", ChangeRevokeKey: "withdrawKey",
	ChangePutRoute: "putRoute", ChangeDeleteRoute: "deleteRoute",
	ChangePutModel: "putModel", ChangeDeleteModel: "deleteModel",
	ChangePutPolicy: "putPolicy", ChangePutAssignment: "putAssignment", ChangeDeleteAssignment: "deleteAssignment",
	ChangeReplaceConfig: "replace",
}

// String returns the kind's name in command summaries and error messages.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one change to the configuration; Kind selects the field that is used.
type Change struct {
	Kind       ChangeKind     `cbor:"kind"              json:"kind"`
	Account    Account        `cbor:"account,omitzero"  json:"account,omitzero"`
	Key        APIKey         `cbor:"key,omitzero"      json:"key,omitzero"`
	Route      Route          `cbor:"route,omitzero"    json:"route,omitzero"`
	Model      Model          `cbor:"model,omitzero"    json:"model,omitzero"`
	Policy     UpstreamPolicy `cbor:"policy,omitzero"   json:"policy,omitzero"`
	Assignment Assignment     `cbor:"assignment,omitzero" json:"assignment,omitzero"`
	Document   *Document      `cbor:"document,omitempty"  json:"-"`
}

const (
	maxAccountWeight = 1000
	maxPoolWeight    = 1 << 20
	maxTokenRate     = Tokens(1e9)
	maxRouteTimeout  = 10 * time.Minute
	maxListedItems   = 10_000
)

// Validate returns a KindBadRequest error if a field of the change is malformed. It does not look at the current
// configuration.
func (c *Change) Validate() error {
	switch c.Kind {
	case ChangePutAccount:
		return c.Account.validate()
	case ChangeDeleteAccount:
		return ValidateName("account.id", string(c.Account.ID))
	case ChangeAddKey:
		return c.Key.validate()
	case ChangeRevokeKey:
		return ValidateName("key.id", string(c.Key.ID))
	case ChangePutRoute:
		return c.Route.validate()
	case ChangeDeleteRoute:
		return ValidateName("route.name", c.Route.Name)
	case ChangePutModel:
		return c.Model.validate()
	case ChangeDeleteModel:
		return ValidateName("model.id", string(c.Model.ID))
	case ChangePutPolicy:
		return c.Policy.validate()
	case ChangePutAssignment:
		return c.Assignment.validate()
	case ChangeDeleteAssignment:
		return ValidateName("assignment.upstream", string(c.Assignment.Upstream))
	case ChangeReplaceConfig:
		if c.Document == nil {
			return Fail(KindBadRequest, "change: the document is missing")
		}
		return c.Document.Validate()
	}
	return Fail(KindBadRequest, "change: unknown kind %d", c.Kind)
}

func (a *Account) validate() error {
	if err := ValidateName("account.id", string(a.ID)); err != nil {
		return err
	}
	if a.Weight < 1 || a.Weight > maxAccountWeight {
		return Fail(KindBadRequest, "account.weight: must be 1 to %d, got %d", maxAccountWeight, a.Weight)
	}
	if a.RequestCost < 0 || a.RequestCost > maxTokenRate {
		return Fail(KindBadRequest, "account.callCost: must be 0 to %d tokens", maxTokenRate)
	}
	if a.Rate < 0 || a.Rate > maxTokenRate || a.Burst < 0 || a.Burst > maxTokenRate {
		return Fail(KindBadRequest, "account: rate and burst must be 0 to %d tokens", maxTokenRate)
	}
	return nil
}

func (k *APIKey) validate() error {
	if err := ValidateName("key.id", string(k.ID)); err != nil {
		return err
	}
	if k.Hash == (KeyHash{}) {
		return Fail(KindBadRequest, "key.hash: missing")
	}
	return ValidateName("key.account", string(k.Account))
}

func (r *Route) validate() error {
	if err := ValidateName("route.name", r.Name); err != nil {
		return err
	}
	if err := ValidateName("route.path", r.Path); err != nil {
		return err
	}
	if !strings.HasPrefix(r.Path, "/") || (r.Host == "" && strings.HasPrefix(r.Path, "/v1/")) {
		return Fail(KindBadRequest, "route.path: must start with / and, without a host, not with /v1/; got %q", r.Path)
	}
	if r.MaxAttempts < 0 || r.LatencyTarget < 0 || r.EventGapTarget < 0 {
		return Fail(KindBadRequest, "route %s: attempts and targets must not be negative", r.Name)
	}
	if r.Timeout <= 0 || r.Timeout > maxRouteTimeout {
		return Fail(KindBadRequest, "route.timeout: must be positive and at most %v, got %v", maxRouteTimeout, r.Timeout)
	}
	if r.Cost < 0 || r.Cost > maxTokenRate || len(r.Accounts) > maxListedItems {
		return Fail(KindBadRequest, "route: cost or number of accounts is out of range")
	}
	return r.validateWeightedPools()
}

func (r *Route) validateWeightedPools() error {
	total := 0
	for _, pool := range r.weightedPools() {
		if err := ValidateName("route.pool", string(pool.Pool)); err != nil {
			return err
		}
		if pool.Weight < 0 || pool.Weight > maxPoolWeight {
			return Fail(KindBadRequest, "route %s: weights must be 0 to %d", r.Name, maxPoolWeight)
		}
		total += pool.Weight
	}
	if total == 0 {
		return Fail(KindBadRequest, "route %s: the weights must not all be 0", r.Name)
	}
	return nil
}

func (m *Model) validate() error {
	if m.MaxOutput < 1 || m.MaxOutput > 1_000_000 || len(m.Accounts) > maxListedItems {
		return Fail(KindBadRequest, "model: maxOutput or number of accounts is out of range")
	}
	return ValidateName("model.id", string(m.ID))
}

func (p *UpstreamPolicy) validate() error {
	if len(p.Drained) > maxListedItems {
		return Fail(KindBadRequest, "policy.drained: must have at most %d upstreams", maxListedItems)
	}
	return ValidateName("policy.pool", string(p.Pool))
}

func (a *Assignment) validate() error {
	if err := ValidateName("assignment.upstream", string(a.Upstream)); err != nil {
		return err
	}
	if !a.Role.CanPrefill() && !a.Role.CanDecode() {
		return Fail(KindBadRequest, "assignment.role: %q is not an engine role", a.Role)
	}
	if len(a.ModelVersion) > maxNameBytes || len(a.Adapter) > maxNameBytes {
		return Fail(KindBadRequest, "assignment: version or adapter is too long")
	}
	return ValidateName("assignment.pool", string(a.Pool))
}

// Config is one version of the configuration. It is immutable once it is published.
type Config struct {
	Version  ConfigVersion    `cbor:"version"  json:"version"`
	Accounts []Account        `cbor:"accounts" json:"accounts"`
	Keys     []APIKey         `cbor:"keys"     json:"keys"`
	Routes   []Route          `cbor:"routes"   json:"routes"`
	Models   []Model          `cbor:"models"   json:"models"`
	Policies []UpstreamPolicy `cbor:"policies" json:"policies"`
	// Assignments lists the desired states of the engines for which an operator or a role change has set one.
	Assignments []Assignment `cbor:"assignments" json:"assignments"`
	// Revision, Pools, CallerLimits and Source come from the last document that was accepted.
	Revision     Revision     `cbor:"revision,omitempty" json:"revision,omitempty"`
	Pools        []Pool       `cbor:"pools,omitempty"    json:"pools,omitempty"`
	CallerLimits CallerLimits `cbor:"callers,omitzero"   json:"callers,omitzero"`
	Source       []byte       `cbor:"source,omitempty"   json:"-"`

	keyByHash map[KeyHash]APIKey
}

// BuildIndex builds the index by key hash. It must run after decoding and before the configuration is published.
func (c *Config) BuildIndex() {
	c.keyByHash = make(map[KeyHash]APIKey, len(c.Keys))
	for _, k := range c.Keys {
		c.keyByHash[k.Hash] = k
	}
}

// KeyByHash returns the API key with this hash.
func (c *Config) KeyByHash(h KeyHash) (APIKey, bool) {
	k, ok := c.keyByHash[h]
	return k, ok
}

// Account returns the client account with this ID.
func (c *Config) Account(id AccountID) (Account, bool) {
	return findSorted(c.Accounts, id, func(a Account) AccountID { return a.ID })
}

// Model returns the model with this ID.
func (c *Config) Model(id PoolID) (Model, bool) {
	return findSorted(c.Models, id, func(m Model) PoolID { return m.ID })
}

// Policy returns the upstream policy of a pool. If none is set, a pool of engines from the document uses the
// document's fencing setting and allows role changes; any other pool gets the zero policy, which relies on no checks.
func (c *Config) Policy(id PoolID) UpstreamPolicy {
	p, ok := findSorted(c.Policies, id, func(p UpstreamPolicy) PoolID { return p.Pool })
	if ok {
		return p
	}
	if pool, ok := c.Pool(id); ok && pool.Engine != nil {
		return UpstreamPolicy{Pool: id, ChecksFencing: pool.Engine.ChecksFencing, AutoRoles: true}
	}
	return UpstreamPolicy{Pool: id}
}

// Assignment returns the desired state of an engine, if one is set.
func (c *Config) Assignment(id UpstreamID) (Assignment, bool) {
	return findSorted(c.Assignments, id, func(a Assignment) UpstreamID { return a.Upstream })
}

// MatchRoute returns the route with the longest path prefix among those that match the host and the path.
func (c *Config) MatchRoute(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		if (best < 0 || len(c.Routes[i].Path) > len(c.Routes[best].Path)) && c.Routes[i].matches(host, path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// matches reports whether the host matches and the route's prefix covers whole path segments. A route without a host
// also matches its prefix without the trailing slash.
func (r *Route) matches(host, path string) bool {
	prefix := r.Path
	if r.Host == "" {
		prefix = strings.TrimSuffix(r.Path, "/")
	} else if !strings.EqualFold(r.Host, host) {
		return false
	}
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// AllowsAccount reports whether a list of accounts contains id or is empty, which allows every account.
func AllowsAccount(list []AccountID, id AccountID) bool {
	return len(list) == 0 || slices.Contains(list, id)
}

func findSorted[T any, K cmp.Ordered](list []T, id K, idOf func(T) K) (T, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(item T, id K) int { return cmp.Compare(idOf(item), id) })
	if !ok {
		var zero T
		return zero, false
	}
	return list[i], true
}

// putSorted returns a copy of a sorted list with the item inserted or replaced.
func putSorted[T any, K cmp.Ordered](list []T, item T, idOf func(T) K) []T {
	i, ok := slices.BinarySearchFunc(list, idOf(item), func(other T, id K) int { return cmp.Compare(idOf(other), id) })
	list = slices.Clone(list)
	if ok {
		list[i] = item
		return list
	}
	return slices.Insert(list, i, item)
}

// removeSorted returns a copy of a sorted list without an item, and whether the item was in the list.
func removeSorted[T any, K cmp.Ordered](list []T, id K, idOf func(T) K) ([]T, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(item T, id K) int { return cmp.Compare(idOf(item), id) })
	if !ok {
		return list, false
	}
	return slices.Delete(slices.Clone(list), i, i+1), true
}

// Apply returns the next version of the configuration, or an error if the change is invalid. The receiver is not
// modified.
func (c *Config) Apply(change *Change) (*Config, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	next := *c
	next.Version++
	if err := next.apply(change); err != nil {
		return nil, err
	}
	next.BuildIndex()
	return &next, nil
}

func (c *Config) apply(change *Change) error {
	ok := true
	switch change.Kind {
	case ChangePutAccount:
		c.Accounts = putSorted(c.Accounts, change.Account, func(a Account) AccountID { return a.ID })
	case ChangeDeleteAccount:
		c.Accounts, ok = removeSorted(c.Accounts, change.Account.ID, func(a Account) AccountID { return a.ID })
		c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(k APIKey) bool { return k.Account == change.Account.ID })
	case ChangeAddKey:
		return c.addKey(change.Key)
	case ChangeRevokeKey:
		c.Keys, ok = removeSorted(c.Keys, change.Key.ID, func(k APIKey) KeyID { return k.ID })
	case ChangePutRoute:
		c.Routes = putSorted(c.Routes, change.Route, func(r Route) string { return r.Name })
	case ChangeDeleteRoute:
		c.Routes, ok = removeSorted(c.Routes, change.Route.Name, func(r Route) string { return r.Name })
	case ChangePutModel:
		c.Models = putSorted(c.Models, change.Model, func(m Model) PoolID { return m.ID })
	case ChangeDeleteModel:
		c.Models, ok = removeSorted(c.Models, change.Model.ID, func(m Model) PoolID { return m.ID })
	case ChangePutPolicy:
		c.Policies = putSorted(c.Policies, change.Policy, func(p UpstreamPolicy) PoolID { return p.Pool })
	case ChangePutAssignment:
		c.Assignments = putSorted(c.Assignments, change.Assignment, func(a Assignment) UpstreamID { return a.Upstream })
	case ChangeReplaceConfig:
		if change.Document.Revision > c.Revision {
			c.replace(change.Document)
		}
	case ChangeDeleteAssignment:
		c.Assignments, ok = removeSorted(c.Assignments, change.Assignment.Upstream, func(a Assignment) UpstreamID { return a.Upstream })
	}
	if !ok {
		return Fail(KindNotFound, "%s: there is no such entry", change.Kind)
	}
	return nil
}

func (c *Config) addKey(k APIKey) error {
	if _, ok := c.Account(k.Account); !ok {
		return Fail(KindNotFound, "key.account: there is no client account %q", k.Account)
	}
	if _, ok := findSorted(c.Keys, k.ID, func(k APIKey) KeyID { return k.ID }); ok {
		return Fail(KindBadRequest, "key.id: %q is taken", k.ID)
	}
	if _, ok := c.keyByHash[k.Hash]; ok {
		return Fail(KindBadRequest, "key.hash: another key has it")
	}
	c.Keys = putSorted(c.Keys, k, func(k APIKey) KeyID { return k.ID })
	return nil
}
