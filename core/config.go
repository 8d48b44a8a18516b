package core

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// KeyHash is the SHA-256 of a caller's key; keys themselves never reach the core.
type KeyHash [32]byte

// Account is a client account with its share and its limits.
type Account struct {
	ID AccountID `cbor:"id" json:"id"`
	// Weight is the account's share of a busy pool relative to the others, from 1.
	Weight int `cbor:"weight" json:"weight"`
	// Rate is the tokens a second that the account may use over all hosts together.
	Rate Tokens `cbor:"rate" json:"rate"`
	// Burst is the most tokens that the account may use at once.
	Burst Tokens `cbor:"burst" json:"burst"`
}

// Key lets its holder act as a client account.
type Key struct {
	ID      KeyID     `cbor:"id"      json:"id"`
	Account AccountID `cbor:"account" json:"account"`
	Hash    KeyHash   `cbor:"hash"    json:"-"`
}

// Route sends calls below a path to a pool of plain services.
type Route struct {
	Name string `cbor:"name" json:"name"`
	// Path is the prefix that the route answers for, such as "/orders".
	Path string `cbor:"path" json:"path"`
	Pool PoolID `cbor:"pool" json:"pool"`
	// Open routes need no key.
	Open bool `cbor:"open" json:"open"`
	// Repeatable calls may be tried again; the others run at most once.
	Repeatable bool `cbor:"repeatable" json:"repeatable"`
	// Accounts may use the route; empty means all.
	Accounts []AccountID `cbor:"accounts" json:"accounts"`
	// Cost is what one call takes from the account's token bucket.
	Cost    Tokens        `cbor:"cost"    json:"cost"`
	Timeout time.Duration `cbor:"timeout" json:"timeout"`
}

// Model is a model that callers may name; its pool has the same name.
type Model struct {
	ID PoolID `cbor:"id" json:"id"`
	// MaxOutput bounds the output tokens of one request and is the default where the caller names none.
	MaxOutput Tokens `cbor:"maxOutput" json:"maxOutput"`
	// Accounts may use the model; empty means all.
	Accounts []AccountID `cbor:"accounts" json:"accounts"`
}

// UpstreamPolicy says what the system may rely on at the upstreams of a pool.
type UpstreamPolicy struct {
	Pool PoolID `cbor:"pool" json:"pool"`
	// ChecksSender upstreams refuse an order from anyone but the system.
	ChecksSender bool `cbor:"checksSender" json:"checksSender"`
	// ChecksFencing upstreams refuse an order with an old fencing number.
	ChecksFencing bool `cbor:"checksFencing" json:"checksFencing"`
	// AutoRoles lets the system change engines between prefill and decode when demand shifts.
	AutoRoles bool `cbor:"autoRoles" json:"autoRoles"`
	// Drained upstreams get no new work.
	Drained []UpstreamID `cbor:"drained" json:"drained"`
}

// Assignment is what an engine should be; the leader orders it where the engine announces something else.
type Assignment struct {
	Upstream UpstreamID `cbor:"upstream" json:"upstream"`
	Pool     PoolID     `cbor:"pool"     json:"pool"`
	Role     Role       `cbor:"role"     json:"role"`
	// Version names the weights and Adapter what is loaded on top; empty means that any will do.
	Version string `cbor:"version" json:"version"`
	Adapter string `cbor:"adapter" json:"adapter"`
}

// Met reports whether an engine already is what it should be.
func (a *Assignment) Met(by *Announcement) bool {
	return a.Pool == by.Pool && a.Role == by.Role &&
		(a.Version == "" || a.Version == by.Version) && (a.Adapter == "" || a.Adapter == by.Adapter)
}

// ChangeKind says which field of a Change is set.
type ChangeKind uint8

// The kinds of change that an operator can make.
const (
	ChangePutAccount ChangeKind = iota + 1
	ChangeDeleteAccount
	ChangeAddKey
	ChangeWithdrawKey
	ChangePutRoute
	ChangeDeleteRoute
	ChangePutModel
	ChangeDeleteModel
	ChangePutPolicy
	ChangePutAssignment
	ChangeDeleteAssignment
)

var changeNames = map[ChangeKind]string{
	ChangePutAccount: "putAccount", ChangeDeleteAccount: "deleteAccount",
	ChangeAddKey: "addKey", ChangeWithdrawKey: "withdrawKey",
	ChangePutRoute: "putRoute", ChangeDeleteRoute: "deleteRoute",
	ChangePutModel: "putModel", ChangeDeleteModel: "deleteModel",
	ChangePutPolicy: "putPolicy", ChangePutAssignment: "putAssignment", ChangeDeleteAssignment: "deleteAssignment",
}

// String returns the kind's name in own formats.
func (k ChangeKind) String() string { return changeNames[k] }

// Change is one change of the configuration; Kind says which of the other fields counts.
type Change struct {
	Kind    ChangeKind     `cbor:"kind"              json:"kind"`
	Account Account        `cbor:"account,omitzero"  json:"account,omitzero"`
	Key     Key            `cbor:"key,omitzero"      json:"key,omitzero"`
	Route   Route          `cbor:"route,omitzero"    json:"route,omitzero"`
	Model   Model          `cbor:"model,omitzero"    json:"model,omitzero"`
	Policy  UpstreamPolicy `cbor:"policy,omitzero"   json:"policy,omitzero"`
	// Assignment is what an engine should be.
	Assignment Assignment `cbor:"assignment,omitzero" json:"assignment,omitzero"`
}

const (
	maxWeight       = 1000
	maxTokenRate    = Tokens(1e9)
	maxRouteTimeout = 10 * time.Minute
	maxListed       = 10_000
)

// Check returns a KindBadRequest error unless the change's own fields are well formed.
func (c *Change) Check() error {
	switch c.Kind {
	case ChangePutAccount:
		return c.Account.check()
	case ChangeDeleteAccount:
		return CheckName("account.id", string(c.Account.ID))
	case ChangeAddKey:
		return c.Key.check()
	case ChangeWithdrawKey:
		return CheckName("key.id", string(c.Key.ID))
	case ChangePutRoute:
		return c.Route.check()
	case ChangeDeleteRoute:
		return CheckName("route.name", c.Route.Name)
	case ChangePutModel:
		return c.Model.check()
	case ChangeDeleteModel:
		return CheckName("model.id", string(c.Model.ID))
	case ChangePutPolicy:
		return c.Policy.check()
	case ChangePutAssignment:
		return c.Assignment.check()
	case ChangeDeleteAssignment:
		return CheckName("assignment.upstream", string(c.Assignment.Upstream))
	}
	return Fail(KindBadRequest, "change: kind %d is not known", c.Kind)
}

func (a *Account) check() error {
	if err := CheckName("account.id", string(a.ID)); err != nil {
		return err
	}
	if a.Weight < 1 || a.Weight > maxWeight {
		return Fail(KindBadRequest, "account.weight: want 1 to %d, have %d", maxWeight, a.Weight)
	}
	if a.Rate < 0 || a.Rate > maxTokenRate || a.Burst < 0 || a.Burst > maxTokenRate {
		return Fail(KindBadRequest, "account: rate and burst must be 0 to %d tokens", maxTokenRate)
	}
	return nil
}

func (k *Key) check() error {
	if err := CheckName("key.id", string(k.ID)); err != nil {
		return err
	}
	if k.Hash == (KeyHash{}) {
		return Fail(KindBadRequest, "key.hash: missing")
	}
	return CheckName("key.account", string(k.Account))
}

func (r *Route) check() error {
	if err := CheckName("route.name", r.Name); err != nil {
		return err
	}
	if err := CheckName("route.path", r.Path); err != nil {
		return err
	}
	if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/v1/") {
		return Fail(KindBadRequest, "route.path: want a path from / outside /v1/, have %q", r.Path)
	}
	if r.Timeout <= 0 || r.Timeout > maxRouteTimeout {
		return Fail(KindBadRequest, "route.timeout: want up to %v, have %v", maxRouteTimeout, r.Timeout)
	}
	if r.Cost < 0 || r.Cost > maxTokenRate || len(r.Accounts) > maxListed {
		return Fail(KindBadRequest, "route: cost or list of accounts out of range")
	}
	return CheckName("route.pool", string(r.Pool))
}

func (m *Model) check() error {
	if m.MaxOutput < 1 || m.MaxOutput > 1_000_000 || len(m.Accounts) > maxListed {
		return Fail(KindBadRequest, "model: maxOutput or list of accounts out of range")
	}
	return CheckName("model.id", string(m.ID))
}

func (p *UpstreamPolicy) check() error {
	if len(p.Drained) > maxListed {
		return Fail(KindBadRequest, "policy.drained: more than %d", maxListed)
	}
	return CheckName("policy.pool", string(p.Pool))
}

func (a *Assignment) check() error {
	if err := CheckName("assignment.upstream", string(a.Upstream)); err != nil {
		return err
	}
	if !a.Role.CanPrefill() && !a.Role.CanDecode() {
		return Fail(KindBadRequest, "assignment.role: %q is no engine's role", a.Role)
	}
	if len(a.Version) > maxNameBytes || len(a.Adapter) > maxNameBytes {
		return Fail(KindBadRequest, "assignment: version or adapter too long")
	}
	return CheckName("assignment.pool", string(a.Pool))
}

// Tables is one version of the configuration; once published it is never changed.
type Tables struct {
	Version  Version          `cbor:"version"  json:"version"`
	Accounts []Account        `cbor:"accounts" json:"accounts"`
	Keys     []Key            `cbor:"keys"     json:"keys"`
	Routes   []Route          `cbor:"routes"   json:"routes"`
	Models   []Model          `cbor:"models"   json:"models"`
	Policies []UpstreamPolicy `cbor:"policies" json:"policies"`
	// Assignments are the engines that should be something else than they were started as.
	Assignments []Assignment `cbor:"assignments" json:"assignments"`

	keyByHash map[KeyHash]Key
}

// Index makes the lookup by key hash after decoding; it must run before the tables are published.
func (s *Tables) Index() {
	s.keyByHash = make(map[KeyHash]Key, len(s.Keys))
	for _, k := range s.Keys {
		s.keyByHash[k.Hash] = k
	}
}

// KeyByHash returns the key with this hash.
func (s *Tables) KeyByHash(h KeyHash) (Key, bool) {
	k, ok := s.keyByHash[h]
	return k, ok
}

// Account returns the client account with this ID.
func (s *Tables) Account(id AccountID) (Account, bool) {
	return find(s.Accounts, id, func(a Account) AccountID { return a.ID })
}

// Model returns the model with this ID.
func (s *Tables) Model(id PoolID) (Model, bool) {
	return find(s.Models, id, func(m Model) PoolID { return m.ID })
}

// Policy returns the upstream policy of a pool, the most careful one where none is set.
func (s *Tables) Policy(id PoolID) UpstreamPolicy {
	p, ok := find(s.Policies, id, func(p UpstreamPolicy) PoolID { return p.Pool })
	if !ok {
		return UpstreamPolicy{Pool: id}
	}
	return p
}

// Assignment returns what an engine should be, if anything is said of it.
func (s *Tables) Assignment(id UpstreamID) (Assignment, bool) {
	return find(s.Assignments, id, func(a Assignment) UpstreamID { return a.Upstream })
}

// RouteFor returns the route with the longest prefix of the path; a prefix ends at a slash.
func (s *Tables) RouteFor(path string) (Route, bool) {
	var best Route
	for _, r := range s.Routes {
		prefix := strings.TrimSuffix(r.Path, "/")
		if len(r.Path) > len(best.Path) && (path == prefix || strings.HasPrefix(path, prefix+"/")) {
			best = r
		}
	}
	return best, best.Name != ""
}

// Allows reports whether a list of accounts, where empty means all, has this one.
func Allows(list []AccountID, id AccountID) bool {
	return len(list) == 0 || slices.Contains(list, id)
}

func find[T any, K cmp.Ordered](list []T, id K, idOf func(T) K) (T, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(e T, id K) int { return cmp.Compare(idOf(e), id) })
	if !ok {
		var zero T
		return zero, false
	}
	return list[i], true
}

// put returns a copy of a sorted list with one element set.
func put[T any, K cmp.Ordered](list []T, e T, idOf func(T) K) []T {
	i, ok := slices.BinarySearchFunc(list, idOf(e), func(x T, id K) int { return cmp.Compare(idOf(x), id) })
	list = slices.Clone(list)
	if ok {
		list[i] = e
		return list
	}
	return slices.Insert(list, i, e)
}

// remove returns a copy of a sorted list without one element and whether it was there.
func remove[T any, K cmp.Ordered](list []T, id K, idOf func(T) K) ([]T, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(x T, id K) int { return cmp.Compare(idOf(x), id) })
	if !ok {
		return list, false
	}
	return slices.Delete(slices.Clone(list), i, i+1), true
}

// Apply returns the next version of the tables, or the kind of error that the change meets. The receiver is unchanged.
func (s *Tables) Apply(c *Change) (*Tables, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	next := *s
	next.Version++
	if err := next.apply(c); err != nil {
		return nil, err
	}
	next.Index()
	return &next, nil
}

func (s *Tables) apply(c *Change) error {
	ok := true
	switch c.Kind {
	case ChangePutAccount:
		s.Accounts = put(s.Accounts, c.Account, func(a Account) AccountID { return a.ID })
	case ChangeDeleteAccount:
		s.Accounts, ok = remove(s.Accounts, c.Account.ID, func(a Account) AccountID { return a.ID })
		s.Keys = slices.DeleteFunc(slices.Clone(s.Keys), func(k Key) bool { return k.Account == c.Account.ID })
	case ChangeAddKey:
		return s.addKey(c.Key)
	case ChangeWithdrawKey:
		s.Keys, ok = remove(s.Keys, c.Key.ID, func(k Key) KeyID { return k.ID })
	case ChangePutRoute:
		s.Routes = put(s.Routes, c.Route, func(r Route) string { return r.Name })
	case ChangeDeleteRoute:
		s.Routes, ok = remove(s.Routes, c.Route.Name, func(r Route) string { return r.Name })
	case ChangePutModel:
		s.Models = put(s.Models, c.Model, func(m Model) PoolID { return m.ID })
	case ChangeDeleteModel:
		s.Models, ok = remove(s.Models, c.Model.ID, func(m Model) PoolID { return m.ID })
	case ChangePutPolicy:
		s.Policies = put(s.Policies, c.Policy, func(p UpstreamPolicy) PoolID { return p.Pool })
	case ChangePutAssignment:
		s.Assignments = put(s.Assignments, c.Assignment, func(a Assignment) UpstreamID { return a.Upstream })
	case ChangeDeleteAssignment:
		s.Assignments, ok = remove(s.Assignments, c.Assignment.Upstream, func(a Assignment) UpstreamID { return a.Upstream })
	}
	if !ok {
		return Fail(KindNotFound, "%s: there is no such entry", c.Kind)
	}
	return nil
}

func (s *Tables) addKey(k Key) error {
	if _, ok := s.Account(k.Account); !ok {
		return Fail(KindNotFound, "key.account: there is no client account %q", k.Account)
	}
	if _, ok := find(s.Keys, k.ID, func(k Key) KeyID { return k.ID }); ok {
		return Fail(KindBadRequest, "key.id: %q is taken", k.ID)
	}
	if _, ok := s.keyByHash[k.Hash]; ok {
		return Fail(KindBadRequest, "key.hash: another key has it")
	}
	s.Keys = put(s.Keys, k, func(k Key) KeyID { return k.ID })
	return nil
}
