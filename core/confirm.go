package core

// Pending collects what a leader may do only while a majority still follows it. One round of confirmation serves all
// that was added while the round before was under way.
type Pending[T any] struct {
	// Mark tells this collection's confirmations from those of other parts; it must differ from theirs.
	Mark uint64

	tag   uint64
	open  bool
	batch []T
	next  []T
}

// markShift leaves the lower bits of a tag to its round.
const markShift = 56

// Add takes something in and asks for a confirmation, if none is under way.
func (p *Pending[T]) Add(t *Turn, x T) {
	p.next = append(p.next, x)
	p.ask(t)
}

func (p *Pending[T]) ask(t *Turn) {
	if p.open || len(p.next) == 0 {
		return
	}
	p.open = true
	p.tag++
	p.batch, p.next = p.next, nil
	t.Post(Confirm{Tag: p.Mark<<markShift | p.tag})
}

// Confirmed returns what may be done now, if the confirmation is this collection's, and asks for the next one.
func (p *Pending[T]) Confirmed(t *Turn, e Confirmed) []T {
	if !p.open || e.Tag != p.Mark<<markShift|p.tag {
		return nil
	}
	done := p.batch
	p.open, p.batch = false, nil
	p.ask(t)
	return done
}

// Reset forgets everything, because the leadership has changed.
func (p *Pending[T]) Reset() { p.open, p.batch, p.next = false, nil, nil }

// The marks of the parts that ask for confirmations.
const (
	MarkLease uint64 = iota + 1
	MarkQuota
	MarkOrder
)
