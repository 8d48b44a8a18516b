package core

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"
)

// Revision is the number that an operator assigns to a configuration document; it may skip numbers but must grow.
type Revision uint64

// Document sets the accounts, keys, routes, pools and caller limits of the configuration all at once; the document with
// the highest revision wins.
type Document struct {
	Revision     Revision     `cbor:"revision"`
	Accounts     []Account    `cbor:"accounts"`
	Keys         []APIKey     `cbor:"keys"`
	Routes       []Route      `cbor:"routes"`
	Pools        []Pool       `cbor:"pools"`
	CallerLimits CallerLimits `cbor:"callers"`
	// Source is the operator's original text, which is returned unchanged.
	Source []byte `cbor:"source"`
}

// Pool configures a group of interchangeable upstreams. HealthPath and MaxConns are kept as configured but not used.
type Pool struct {
	ID PoolID `cbor:"id" json:"id"`
	// HealthPath responds with status 200 while an upstream is healthy.
	HealthPath string `cbor:"healthPath" json:"healthPath"`
	// MaxConns limits the connections to one upstream from all hosts together.
	MaxConns int `cbor:"maxConns" json:"maxConns"`
	// Engine is nil for a plain service.
	Engine *Engine `cbor:"engine,omitempty" json:"engine,omitempty"`
	// ColdRate is the number of requests per second that a cold upstream takes from all hosts together; zero means that no
	// upstream of the pool counts as cold.
	ColdRate RequestRate `cbor:"coldRate,omitempty" json:"coldRate,omitempty"`
	// ColdTime is how long an upstream that does not say whether it is cold counts as cold after a start.
	ColdTime time.Duration `cbor:"coldTime,omitempty" json:"coldTime,omitempty"`
}

// Engine configures the model engines of a pool. KVBytesPerToken is kept as configured but not used.
type Engine struct {
	// Slots is the number of streams in one batch.
	Slots int `cbor:"slots" json:"slots"`
	// KVCacheTokens is the size of an engine's KV cache in tokens.
	KVCacheTokens Tokens `cbor:"memory" json:"memory"`
	// KVBlockTokens is the allocation unit of the KV cache in tokens.
	KVBlockTokens Tokens `cbor:"block" json:"block"`
	// KVBytesPerToken is the KV cache size of one token in bytes.
	KVBytesPerToken int64 `cbor:"tokenBytes" json:"tokenBytes"`
	// KVHandleTTL is how long an engine keeps the result of a prefill.
	KVHandleTTL time.Duration `cbor:"handleLife" json:"handleLife"`
	// ChecksFencing says that the engines reject assign requests with an outdated fencing token.
	ChecksFencing bool `cbor:"checksFencing" json:"checksFencing"`
}

// CallerLimits bounds the size and the duration of callers' requests.
type CallerLimits struct {
	MaxHeaderBytes int           `cbor:"maxHeaderBytes" json:"maxHeaderBytes"`
	MaxBodyBytes   int           `cbor:"maxBodyBytes"   json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `cbor:"headerTimeout"  json:"headerTimeout"`
	IdleTimeout    time.Duration `cbor:"idleTimeout"    json:"idleTimeout"`
}

// maxDocumentBytes limits the operator's text.
const maxDocumentBytes = 16 << 20

func poolID(p Pool) PoolID { return p.ID }

// Validate sorts the document's lists, drops duplicate keys and returns a KindBadRequest error if the document is
// invalid.
func (d *Document) Validate() error {
	if d.Revision == 0 || len(d.Source) > maxDocumentBytes {
		return Fail(KindBadRequest, "document: revision must not be 0 and the text must be at most %d bytes", maxDocumentBytes)
	}
	for _, check := range []func(*Document) error{(*Document).validatePools, (*Document).validateRoutes, (*Document).validateAccounts} {
		if err := check(d); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validatePools() error {
	slices.SortFunc(d.Pools, func(a, b Pool) int { return cmp.Compare(a.ID, b.ID) })
	for i := range d.Pools {
		if err := ValidateName("pool.id", string(d.Pools[i].ID)); err != nil {
			return err
		}
		if err := d.Pools[i].validateCold(); err != nil {
			return err
		}
		if i > 0 && d.Pools[i].ID == d.Pools[i-1].ID {
			return Fail(KindBadRequest, "duplicate pool %s", d.Pools[i].ID)
		}
	}
	return nil
}

func (d *Document) validateRoutes() error {
	slices.SortFunc(d.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	seen := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(); err != nil {
			return err
		}
		if i > 0 && r.Name == d.Routes[i-1].Name {
			return Fail(KindBadRequest, "duplicate route %s", r.Name)
		}
		prefix := strings.ToLower(r.Host) + r.Path
		if other, ok := seen[prefix]; ok {
			return Fail(KindBadRequest, "routes %s and %s have the same host and prefix", other, r.Name)
		}
		seen[prefix] = r.Name
		if err := d.validateRoutePools(r); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) validateRoutePools(r *Route) error {
	for _, pool := range r.weightedPools() {
		if _, ok := findSorted(d.Pools, pool.Pool, poolID); !ok {
			return Fail(KindBadRequest, "route %s: pool %q does not exist", r.Name, pool.Pool)
		}
	}
	return nil
}

func (d *Document) validateAccounts() error {
	slices.SortFunc(d.Accounts, func(a, b Account) int { return cmp.Compare(a.ID, b.ID) })
	for i := range d.Accounts {
		if err := d.Accounts[i].validate(); err != nil {
			return err
		}
		if i > 0 && d.Accounts[i].ID == d.Accounts[i-1].ID {
			return Fail(KindBadRequest, "duplicate client account %s", d.Accounts[i].ID)
		}
	}
	slices.SortFunc(d.Keys, func(a, b APIKey) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	for i := range d.Keys {
		if err := d.Keys[i].validate(); err != nil {
			return err
		}
		if i > 0 && d.Keys[i].Hash == d.Keys[i-1].Hash && d.Keys[i].Account != d.Keys[i-1].Account {
			return Fail(KindBadRequest, "client accounts %s and %s have the same key", d.Keys[i-1].Account, d.Keys[i].Account)
		}
	}
	d.Keys = slices.CompactFunc(d.Keys, func(a, b APIKey) bool { return a.Hash == b.Hash })
	slices.SortFunc(d.Keys, func(a, b APIKey) int { return cmp.Compare(a.ID, b.ID) })
	return nil
}

// replace takes over the document's fields and keeps the models, policies, assignments and evacuations.
func (c *Config) replace(d *Document) {
	c.Revision, c.Source, c.CallerLimits = d.Revision, d.Source, d.CallerLimits
	c.Accounts, c.Keys, c.Routes, c.Pools = d.Accounts, d.Keys, d.Routes, d.Pools
}

// Pool returns the configuration of a pool.
func (c *Config) Pool(id PoolID) (Pool, bool) { return findSorted(c.Pools, id, poolID) }
