package core

// VerifyQueue holds work that the leader may do only after a majority has verified its leadership. Items added while
// a verification is in flight share the next one.
type VerifyQueue[T any] struct {
	// ID distinguishes the tags of this queue from those of the other queues on the host; it must be unique.
	ID uint64

	tag      uint64
	inFlight bool
	current  []T
	queued   []T
}

// queueIDShift is the position of the queue ID in a tag; the lower bits count the verifications.
const queueIDShift = 56

// Add queues an item and requests a verification unless one is in flight.
func (q *VerifyQueue[T]) Add(t *Turn, item T) {
	q.queued = append(q.queued, item)
	q.start(t)
}

func (q *VerifyQueue[T]) start(t *Turn) {
	if q.inFlight || len(q.queued) == 0 {
		return
	}
	q.inFlight = true
	q.tag++
	q.current, q.queued = q.queued, nil
	t.Post(VerifyLeader{Tag: q.ID<<queueIDShift | q.tag})
}

// Verified returns the items that may be processed if e is for this queue, and requests a verification for the items
// queued since.
func (q *VerifyQueue[T]) Verified(t *Turn, e LeaderVerified) []T {
	if !q.inFlight || e.Tag != q.ID<<queueIDShift|q.tag {
		return nil
	}
	verified := q.current
	q.inFlight, q.current = false, nil
	q.start(t)
	return verified
}

// Reset discards all items; it is called when the leadership changes.
func (q *VerifyQueue[T]) Reset() { q.inFlight, q.current, q.queued = false, nil, nil }

// The IDs of the verify queues.
const (
	VerifyQueueLease uint64 = iota + 1
	VerifyQueueQuota
	VerifyQueueAssign
)
