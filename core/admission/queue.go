package admission

import (
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/ordered"
)

// Result is the outcome of an attempt to place an item.
type Result uint8

// The results of placing an item.
const (
	// Placed means that upstreams are reserved for the item.
	Placed Result = iota
	// DoesNotFit means that no upstream has room for this item, but another item might still fit.
	DoesNotFit
	// Unavailable means that the upstreams with room must not be used for this item; another item might still fit.
	Unavailable
	// DoesNotFitHere means that no upstream that this item is restricted to can take it. What the items behind it take in other
	// regions is no use to it.
	DoesNotFitHere
	// Full means that no item can be placed now.
	Full
)

const (
	// maxSkipped is the number of attempts of a level that do not fit after which its scan ends.
	maxSkipped = 8
	// maxSkippedRegional is the same for attempts that may run in some regions only, which hold up no others.
	maxSkippedRegional = 64
	// maxSkipTime is how long after it was queued an attempt may be skipped. After that, the attempts behind it wait
	// until it fits. Attempts of a less urgent priority wait for one that has a target after targetSkipRatio of the target,
	// since small ones of theirs would go on taking the memory that it needs.
	maxSkipTime     = time.Second
	targetSkipRatio = 0.5
	// latePlacementInterval is the number of placements after which a late attempt is placed before on-time ones.
	latePlacementInterval = 40
	// minShare is the part of the placed work that each priority keeps under more urgent ones while it has attempts in the
	// queue.
	minShare = 0.05
	// maxOwed limits what is owed to a priority, in its first attempts: one that has waited for an engine with room must not be
	// followed by many others of its priority.
	maxOwed = 2
)

// Queue holds the queued attempts of a pool. Those that can still meet their target go first. Capacity under overload thus
// goes to responses that meet the target, by priority, and inside a priority fairly between accounts. One placement in
// latePlacementInterval is kept for late attempts and minShare of the work for less urgent ones, so that none starves.
type Queue struct {
	onTime [core.PriorityLevels]*level
	late   [core.PriorityLevels]*level
	items  map[core.AttemptID]*Item
	// heads has the first on-time attempts of the accounts that may become late, by the time of their next check. The others
	// are checked once they are first.
	heads    *ordered.Heap[*Item]
	lateSize int
	// sinceLate counts the placements since the last late one.
	sinceLate int
	// owed is the work in tokens that a priority was not given of its share while it had attempts in the queue.
	owed [core.PriorityLevels]float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{items: map[core.AttemptID]*Item{}, heads: &ordered.Heap[*Item]{
		Index: func(i *Item) *int { return &i.headIndex }, Less: checkedEarlier,
	}}
}

func checkedEarlier(a, b *Item) bool {
	if !a.checkAt.Equal(b.checkAt) {
		return a.checkAt.Before(b.checkAt)
	}
	return a.Request.Attempt.Compare(b.Request.Attempt) < 0
}

// Len returns the number of queued attempts, LateLen that of those which can no longer meet their target.
func (q *Queue) Len() int { return len(q.items) }

// LateLen returns the number of queued attempts that can no longer meet their target.
func (q *Queue) LateLen() int { return q.lateSize }

// Find returns a queued attempt, or nil.
func (q *Queue) Find(a core.AttemptID) *Item { return q.items[a] }

// Push adds an attempt that can still meet its target.
func (q *Queue) Push(item *Item) {
	q.items[item.Request.Attempt] = item
	item.late, item.headIndex = false, -1
	if q.onTime[item.Level] == nil {
		q.onTime[item.Level] = newLevel(q.heads)
	}
	q.onTime[item.Level].push(item)
}

// lateCheckTime is how long before an attempt is expected to be late it is checked whether it is, each time one is placed,
// since the estimates change.
const lateCheckTime = 20 * time.Millisecond

// Demote moves attempts that can no longer meet their target to the late ones. delay is the wait for a prefill engine now, and
// lateAt estimates Item.LateAt.
func (q *Queue) Demote(now time.Time, delay time.Duration, lateAt func(*Item) time.Time) {
	start := now.Add(delay)
	for q.heads.Len() > 0 && !q.heads.Min().checkAt.After(start) {
		item := q.heads.Min()
		item.LateAt = lateAt(item)
		if !item.LateAt.Before(start) {
			item.checkAt = later(item.LateAt.Add(-lateCheckTime), start.Add(1))
			q.heads.Fix(item)
			continue
		}
		item.level.removePastTarget(item)
		item.late = true
		q.lateSize++
		if q.late[item.Level] == nil {
			q.late[item.Level] = newLevel(nil)
		}
		q.late[item.Level].push(item)
	}
}

// Remove removes a queued attempt without a charge to its account. It does nothing if the attempt is not queued.
func (q *Queue) Remove(a core.AttemptID) {
	if item := q.items[a]; item != nil {
		q.forget(item)
		item.level.remove(item)
	}
}

// forget removes an attempt from everything but its level.
func (q *Queue) forget(item *Item) {
	delete(q.items, item.Request.Attempt)
	if item.late {
		q.lateSize--
	}
}

// RemoveWhere removes the matching attempts and returns them in order of arrival.
func (q *Queue) RemoveWhere(match func(*Item) bool) []*Item {
	out := q.findWhere(match)
	for _, item := range out {
		q.Remove(item.Request.Attempt)
	}
	return out
}

// findWhere returns the matching attempts in order of arrival.
func (q *Queue) findWhere(match func(*Item) bool) []*Item {
	var out []*Item
	for _, item := range q.items {
		if match(item) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b *Item) int {
		if d := a.ArrivedAt.Compare(b.ArrivedAt); d != 0 {
			return d
		}
		return a.Request.Attempt.Compare(b.Request.Attempt)
	})
	return out
}

// Ahead returns how many attempts are placed before a new one of an account and a priority if all accounts get an equal share,
// and that one.
func (q *Queue) Ahead(id core.AccountID, priority int) int {
	n := q.onTime[priority].ahead(id)
	for i, l := range q.onTime {
		if i < priority && l != nil {
			n += l.size
		}
	}
	for _, l := range q.late[:priority+1] {
		n += l.ahead(id)
	}
	return n
}

// Next places the first attempt, in the order of the queue, for which try returns Placed, removes it and returns it. It
// returns nil if there is none. Late attempts are tried after all others, if mayPlaceLate allows it.
func (q *Queue) Next(now time.Time, mayPlaceLate func() bool, try func(*Item) Result) *Item {
	item := q.nextReserved(now, try)
	then := tryNextLevel
	if item == nil {
		item, then = nextOf(q.onTime[:], now, try)
	}
	if item == nil && then != stop && q.lateSize > 0 && mayPlaceLate() {
		item, _ = nextOf(q.late[:], now, try)
	}
	if item == nil {
		return nil
	}
	q.sinceLate++
	if item.late {
		q.sinceLate = 0
	}
	q.settle(item)
	q.forget(item)
	item.level.removePlaced(item)
	return item
}

// nextReserved places an attempt that a reserve is kept for, if one is due.
func (q *Queue) nextReserved(now time.Time, try func(*Item) Result) *Item {
	if q.sinceLate >= latePlacementInterval && q.lateSize > 0 {
		if item, _ := nextOf(q.late[:], now, try); item != nil {
			return item
		}
	}
	for i := 1; i < core.PriorityLevels; i++ {
		if q.owed[i] <= 0 {
			continue
		}
		l := q.firstLevel(i)
		if l == nil || q.owed[i] < l.backlogged.Min().first().cost() {
			continue
		}
		if item, _ := l.scan(now, try); item != nil {
			return item
		}
	}
	return nil
}

// firstLevel returns the first level of a priority that has attempts, or nil.
func (q *Queue) firstLevel(priority int) *level {
	if l := q.onTime[priority]; !l.isEmpty() {
		return l
	}
	if l := q.late[priority]; !l.isEmpty() {
		return l
	}
	return nil
}

// settle updates what is owed to priorities after an attempt was placed.
func (q *Queue) settle(item *Item) {
	cost := item.cost()
	for i := range q.owed {
		l := q.firstLevel(i)
		if l == nil {
			q.owed[i] = 0
			continue
		}
		q.owed[i] = min(q.owed[i]+minShare*cost, maxOwed*l.backlogged.Min().first().cost())
		if i == item.Level {
			q.owed[i] = max(0, q.owed[i]-cost)
		}
	}
}

// next is what follows after nothing was placed from a level.
type next uint8

const (
	// tryNextLevel means that the next level may be tried, stopLevels that only late attempts may be, and stop that nothing may
	// be placed, since an attempt with a target waits for memory.
	tryNextLevel next = iota
	stopLevels
	stop
)

// nextOf places an attempt of the first of some levels that has one which can be placed.
func nextOf(levels []*level, now time.Time, try func(*Item) Result) (*Item, next) {
	for _, l := range levels {
		if l.isEmpty() {
			continue
		}
		if item, then := l.scan(now, try); item != nil || then != tryNextLevel {
			return item, then
		}
	}
	return nil, tryNextLevel
}

// scan tries the first attempts of the accounts in a level, in their order.
func (l *level) scan(now time.Time, try func(*Item) Result) (placed *Item, then next) {
	skipped, regional := 0, 0
	l.backlogged.Ascend(func(a *account) bool {
		item := a.first()
		result := try(item)
		switch result {
		case Placed:
			placed = item
			return false
		case Full:
			then = stopLevels
			return false
		case DoesNotFitHere:
			regional++
			return regional < maxSkippedRegional
		}
		skipped++
		waited := now.Sub(item.QueuedAt)
		if result == DoesNotFit && waited >= skipTime(item) {
			then = stopLevels
			if item.Request.Target > 0 {
				then = stop
			}
		}
		return skipped < maxSkipped && waited < maxSkipTime
	})
	return placed, then
}

// skipTime returns how long attempts of a less urgent level may pass one that does not fit.
func skipTime(item *Item) time.Duration {
	if item.Request.Target == 0 {
		return maxSkipTime
	}
	return min(maxSkipTime, time.Duration(targetSkipRatio*float64(item.Request.Target)))
}

// last returns an attempt at the end of the queue's order, or nil if the queue is empty.
func (q *Queue) last() *Item {
	for i := len(q.late) - 1; i >= 0; i-- {
		if !q.late[i].isEmpty() {
			return q.late[i].last()
		}
	}
	for i := len(q.onTime) - 1; i >= 0; i-- {
		if !q.onTime[i].isEmpty() {
			return q.onTime[i].last()
		}
	}
	return nil
}

// last returns the last attempt of the account whose attempts end last.
func (l *level) last() *Item {
	var last *account
	for _, a := range l.backlogged.Items() {
		if last == nil || a.endTag() > last.endTag() || (a.endTag() == last.endTag() && a.id > last.id) {
			last = a
		}
	}
	return last.items[len(last.items)-1]
}

// endTag returns the virtual time at which the account's last attempt ends.
func (a *account) endTag() float64 { return a.startTag + a.cost/a.weight }
