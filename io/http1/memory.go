package http1

import (
	"expvar"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// rejected counts the headers, bodies and events that were not read to their end, by reason.
var rejected = expvar.NewMap("bodiesRejected")

var (
	// ErrTooLong means that a body, an event or a trailer exceeds its limit.
	ErrTooLong = errors.New("longer than the limit")
	// ErrNoMemory means that the bodies in memory have reached the limit of the host.
	ErrNoMemory = errors.New("the bodies in memory have reached the limit of the host")
)

func tooLong(what string, limit int) error {
	rejected.Add("tooLong", 1)
	return errors.Wrapf(ErrTooLong, "%s, %d bytes", what, limit)
}

// MemoryBudget limits the bytes of bodies that all requests of a host keep in memory at once, since a limit for each body
// would multiply with the number of connections.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryBudget returns a budget of limit bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// Lease returns an empty lease. Without a budget the lease has no limit.
func (b *MemoryBudget) Lease() *MemoryLease { return &MemoryLease{budget: b} }

// MemoryLease is the part of a MemoryBudget that one request uses. It is not safe for concurrent use.
type MemoryLease struct {
	budget *MemoryBudget
	bytes  int64
}

// grow adds n bytes to the lease, or returns ErrNoMemory if the budget has fewer left.
func (l *MemoryLease) grow(n int) error {
	if l.budget == nil {
		return nil
	}
	if l.budget.used.Add(int64(n)) > l.budget.limit {
		l.budget.used.Add(-int64(n))
		rejected.Add("noMemory", 1)
		return ErrNoMemory
	}
	l.bytes += int64(n)
	return nil
}

// Release returns the bytes of the lease to the budget.
func (l *MemoryLease) Release() {
	if l.budget != nil {
		l.budget.used.Add(-l.bytes)
		l.bytes = 0
	}
}
