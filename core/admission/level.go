package admission

import (
	"slices"

	"oleanderlever/core"
	"oleanderlever/core/ordered"
)

// account is the queue of one client account in a level.
type account struct {
	id     core.AccountID
	weight float64
	// items are in order of SortTime. The first one is at index head; those before it were removed.
	items []*Item
	head  int
	// work and cost are the sums of the items.
	work Work
	cost float64
	// startTag is the virtual time at which the account's next attempt starts.
	startTag float64
	// heapIndex is the position in the heap of backlogged accounts, or -1.
	heapIndex int
}

func (a *account) size() int { return len(a.items) - a.head }

func (a *account) first() *Item { return a.items[a.head] }

// level is a part of the queue. It shares the pool between client accounts by token cost.
//
// It implements start-time fair queueing (Goyal, Vin, Cheng 1996): in virtual time, an attempt starts when the last
// placed attempt of its account ended, and the attempt with the earliest start goes first. An attempt that misses its
// target before it is placed costs its account only pastTargetCostRatio of its tokens, so the account's next attempt is
// placed earlier; other attempts that leave the queue without being placed cost nothing. Deficit round robin was
// rejected because an attempt of tens of thousands of tokens would make its rounds long, and first come, first served
// because one account could then fill the queue.
type level struct {
	virtualTime float64
	accounts    map[core.AccountID]*account
	backlogged  ordered.Heap[*account]
	size        int
	work        Work
	// heads has the first attempts of the accounts that may become late; it is nil in a level of late attempts.
	heads *ordered.Heap[*Item]
}

func newLevel(heads *ordered.Heap[*Item]) *level {
	return &level{
		heads:      heads,
		accounts:   map[core.AccountID]*account{},
		backlogged: ordered.Heap[*account]{Index: func(a *account) *int { return &a.heapIndex }, Less: earlierStart},
	}
}

func earlierStart(a, b *account) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.id < b.id
}

// isEmpty reports whether the level has no attempts; a level that was never used is nil.
func (l *level) isEmpty() bool { return l == nil || l.size == 0 }

// push adds an attempt to its account's queue, ordered by SortTime.
func (l *level) push(item *Item) {
	id := item.Request.Account
	a := l.accounts[id]
	if a == nil {
		a = &account{id: id, heapIndex: -1}
		l.accounts[id] = a
	}
	a.weight = float64(max(1, item.Request.Weight))
	if a.size() == 0 {
		a.startTag = max(a.startTag, l.virtualTime-a.virtualCredit())
	}
	if a.head > 0 && len(a.items) == cap(a.items) {
		a.items = slices.Delete(a.items, 0, a.head)
		a.head = 0
	}
	i := len(a.items)
	for i > a.head && item.SortTime.Before(a.items[i-1].SortTime) {
		i--
	}
	if i == a.head && a.size() > 0 {
		l.unmarkHead(a.first())
	}
	a.items = slices.Insert(a.items, i, item)
	a.work, a.cost = a.work.Plus(item.Work), a.cost+item.cost()
	l.size++
	l.work = l.work.Plus(item.Work)
	item.level, item.account = l, a
	if i == a.head {
		l.markHead(item)
		l.backlogged.Fix(a)
	}
}

// markHead records that an attempt is the first one of its account.
func (l *level) markHead(item *Item) {
	if l.heads != nil && !item.LateAt.IsZero() {
		l.heads.Fix(item)
	}
}

// unmarkHead records that an attempt is not the first one of its account any more.
func (l *level) unmarkHead(item *Item) {
	if l.heads != nil {
		l.heads.Remove(item)
	}
}

// idleCreditTokens is how many tokens of unused share an account can save up. Without the credit, the second of two
// consecutive requests of a small account misses its target even if the account has been idle for seconds.
const idleCreditTokens = 20_000.0

// virtualCredit returns the idle credit of the account in virtual time.
func (a *account) virtualCredit() float64 { return idleCreditTokens / a.weight }

// removePlaced removes an attempt that was placed, charges its account and advances virtual time to the attempt's
// start.
func (l *level) removePlaced(item *Item) {
	a := item.account
	l.virtualTime = max(l.virtualTime, a.startTag)
	a.startTag += item.cost() / a.weight
	l.remove(item)
}

// pastTargetCostRatio is the fraction of its cost that an account is charged for an attempt that missed its target
// before it was placed. At 0, an account that floods the queue gains too much from such attempts; at 1, an account pays
// in full for an attempt that has already missed its target.
const pastTargetCostRatio = 0.25

// removePastTarget removes an attempt that can no longer meet its target.
func (l *level) removePastTarget(item *Item) {
	item.account.startTag += pastTargetCostRatio * item.cost() / item.account.weight
	l.remove(item)
}

// remove removes an attempt without a charge to its account.
func (l *level) remove(item *Item) {
	a := item.account
	l.size--
	l.work = l.work.Minus(item.Work)
	a.work, a.cost = a.work.Minus(item.Work), a.cost-item.cost()
	i := a.index(item)
	if i == a.head {
		l.unmarkHead(item)
		a.items[i] = nil
		a.head++
		if a.size() > 0 {
			l.markHead(a.first())
		}
	} else {
		a.items = slices.Delete(a.items, i, i+1)
	}
	item.level, item.account = nil, nil
	if a.size() > 0 {
		l.backlogged.Fix(a)
		return
	}
	a.items, a.head, a.work, a.cost = a.items[:0], 0, Work{}, 0
	if l.size == 0 {
		l.work = Work{}
	}
	l.backlogged.Remove(a)
	l.pruneAccounts(a)
}

// index returns the index of an attempt of the account in items.
func (a *account) index(item *Item) int {
	if a.first() == item {
		return a.head
	}
	i, _ := slices.BinarySearchFunc(a.items[a.head:], item, func(x, y *Item) int { return x.SortTime.Compare(y.SortTime) })
	for i += a.head; a.items[i] != item; {
		i++
	}
	return i
}

// pruneAccounts removes an empty account queue if the account has its full idle credit. Otherwise the queue stays.
// Above pruneThreshold queues, it also removes the other empty queues whose accounts have their full idle credit again.
func (l *level) pruneAccounts(a *account) {
	if a.startTag <= l.virtualTime-a.virtualCredit() {
		delete(l.accounts, a.id)
		return
	}
	if len(l.accounts) <= pruneThreshold {
		return
	}
	for id, other := range l.accounts {
		if other.size() == 0 && other.startTag <= l.virtualTime-other.virtualCredit() {
			delete(l.accounts, id)
		}
	}
}

// pruneThreshold is the number of account queues above which all empty ones are checked for removal.
const pruneThreshold = 4096

// ahead returns how many attempts are placed before a new one of an account if all accounts get an equal share, and that one.
func (l *level) ahead(id core.AccountID) int {
	if l == nil {
		return 0
	}
	own := 1
	if a := l.accounts[id]; a != nil {
		own = max(own, a.size())
	}
	return min(l.size, own*max(1, l.backlogged.Len()))
}
