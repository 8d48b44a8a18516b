package dispatch

import (
	"oleanderlever/core"
	"oleanderlever/core/ordered"
)

// candidates are the upstreams that may get one stage of an attempt, in order. Those in a region are also in a heap of that region:
// a request that may run in one region only would otherwise visit all others before the first in it, if that is the fullest.
type candidates struct {
	ordered.Heap[*upstream]
	byRegion map[core.Region]*ordered.Heap[*upstream]
	// regionIndex returns a pointer to an upstream's index in the heap of its region.
	regionIndex func(u *upstream) *int
}

// newCandidates returns an empty set; index and regionIndex return pointers to an upstream's index in the two heaps.
func newCandidates(less func(a, b *upstream) bool, index, regionIndex func(u *upstream) *int) candidates {
	return candidates{
		Heap:     ordered.Heap[*upstream]{Index: index, Less: less},
		byRegion: map[core.Region]*ordered.Heap[*upstream]{}, regionIndex: regionIndex,
	}
}

// Fix adds an upstream, or moves it after its order has changed.
func (c *candidates) Fix(u *upstream) {
	c.Heap.Fix(u)
	if u.region == "" {
		return
	}
	h := c.byRegion[u.region]
	if h == nil {
		h = &ordered.Heap[*upstream]{Index: c.regionIndex, Less: c.Less}
		c.byRegion[u.region] = h
	}
	h.Fix(u)
}

// Remove removes an upstream if it is a candidate.
func (c *candidates) Remove(u *upstream) {
	c.Heap.Remove(u)
	if h := c.byRegion[u.region]; h != nil {
		h.Remove(u)
	}
}

// AscendIn visits the candidates in regions in order, one region after the other, until visit returns false for one of each. An
// empty list means all candidates.
func (c *candidates) AscendIn(regions []core.Region, visit func(u *upstream) bool) {
	if len(regions) == 0 {
		c.Ascend(visit)
		return
	}
	for _, region := range regions {
		if h := c.byRegion[region]; h != nil {
			h.Ascend(visit)
		}
	}
}

// LenIn returns the number of candidates in regions; an empty list means all candidates.
func (c *candidates) LenIn(regions []core.Region) int {
	if len(regions) == 0 {
		return c.Len()
	}
	n := 0
	for _, region := range regions {
		if h := c.byRegion[region]; h != nil {
			n += h.Len()
		}
	}
	return n
}
