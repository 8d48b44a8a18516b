package ordered

import "slices"

// Heap is a binary heap whose elements know their place, so that one can be moved or taken out in logarithmic
// time, and the smallest few can be looked at without taking them out. A sorted slice was rejected: moving an element
// is linear, and at 2,800 upstreams two moves belong to each placement.
type Heap[T comparable] struct {
	// Less orders the elements.
	Less func(a, b T) bool
	// At returns where an element keeps its place, which is -1 outside the heap.
	At func(e T) *int

	items []T
}

// Len returns how many elements the heap has.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the first element; the heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Fix puts an element in, or moves it after its order has changed.
func (h *Heap[T]) Fix(e T) {
	i := *h.At(e)
	if i < 0 {
		h.items = append(h.items, e)
		i = len(h.items) - 1
		*h.At(e) = i
	}
	h.down(h.up(i))
}

// Remove takes an element out if it is there.
func (h *Heap[T]) Remove(e T) {
	i := *h.At(e)
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.At(e) = -1
	if i < last {
		h.down(h.up(i))
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.At(h.items[i]), *h.At(h.items[j]) = i, j
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

// Ascend visits the elements in order until visit returns false. It costs the square of the elements visited at the
// most, so it suits a look at the first few.
func (h *Heap[T]) Ascend(visit func(e T) bool) {
	if len(h.items) == 0 {
		return
	}
	front := []int{0}
	for len(front) > 0 {
		least := 0
		for i := range front {
			if h.Less(h.items[front[i]], h.items[front[least]]) {
				least = i
			}
		}
		at := front[least]
		front = slices.Delete(front, least, least+1)
		for child := 2*at + 1; child <= 2*at+2 && child < len(h.items); child++ {
			front = append(front, child)
		}
		if !visit(h.items[at]) {
			return
		}
	}
}
