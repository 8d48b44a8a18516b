package ordered

import "slices"

// Heap is a binary heap whose elements know their index, so that an element can be moved or removed in logarithmic
// time and the first few can be visited without removing them. A sorted slice would move elements in linear time, and
// each placement moves two of up to 2,800 upstreams.
type Heap[T comparable] struct {
	// Less reports whether a comes before b.
	Less func(a, b T) bool
	// Index returns a pointer to an element's index in the heap; the index is -1 while the element is not in it.
	Index func(e T) *int

	items []T
	// candidates is the memory of Ascend, so that a visit of the first elements does not allocate.
	candidates []int
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the first element; the heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Fix adds an element, or moves it after its order has changed.
func (h *Heap[T]) Fix(e T) {
	i := *h.Index(e)
	if i < 0 {
		h.items = append(h.items, e)
		i = len(h.items) - 1
		*h.Index(e) = i
	}
	h.down(h.up(i))
}

// Remove removes an element if it is in the heap.
func (h *Heap[T]) Remove(e T) {
	i := *h.Index(e)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.Index(e) = -1
	if i < last {
		h.down(h.up(i))
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.Index(h.items[i]), *h.Index(h.items[j]) = i, j
}

func (h *Heap[T]) up(i int) int {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i
}

func (h *Heap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.Less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

// Items returns the elements in no particular order. The slice must not be changed and is valid until the heap changes.
func (h *Heap[T]) Items() []T { return h.items }

// Ascend visits the elements in order until visit returns false. Its cost is at most quadratic in the number of
// visited elements, so it is meant for the first few.
func (h *Heap[T]) Ascend(visit func(e T) bool) {
	if len(h.items) == 0 {
		return
	}
	// A visit that calls Ascend itself gets other memory.
	candidates := append(h.candidates[:0], 0)
	h.candidates = nil
	for len(candidates) > 0 {
		least := 0
		for i := range candidates {
			if h.Less(h.items[candidates[i]], h.items[candidates[least]]) {
				least = i
			}
		}
		next := candidates[least]
		candidates = slices.Delete(candidates, least, least+1)
		for child := 2*next + 1; child <= 2*next+2 && child < len(h.items); child++ {
			candidates = append(candidates, child)
		}
		if !visit(h.items[next]) {
			break
		}
	}
	h.candidates = candidates
}
