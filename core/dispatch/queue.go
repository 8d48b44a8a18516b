package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
	"oleanderlever/core/ordered"
)

// queueItem is a queued attempt.
type queueItem struct {
	request   core.PlacementRequest
	entryHost core.HostID
	// arrivedAt is when the entry host received the caller's request, queuedAt when the attempt was queued here.
	arrivedAt time.Time
	queuedAt  time.Time
	// sortTime orders the attempts of one account.
	sortTime time.Time
	deadline time.Time
}

// accountQueue is the queue of one client account.
type accountQueue struct {
	id     core.AccountID
	weight float64
	items  []*queueItem
	// startTag is the virtual time at which the account's next attempt starts.
	startTag float64
	// heapIndex is the position in the heap of backlogged accounts, or -1.
	heapIndex int
}

// fairQueue shares a pool between client accounts by token cost.
//
// It implements start-time fair queueing (Goyal, Vin, Cheng 1996): in virtual time, an attempt starts when the last
// placed attempt of its account ended, and the attempt with the earliest start goes first. An attempt that misses its
// target before it is placed costs its account only pastTargetCostRatio of its tokens, so the account's next attempt is
// placed earlier; other attempts that leave the queue without being placed cost nothing. Deficit round robin was
// rejected because an attempt of tens of thousands of tokens would make its rounds long, and first come, first served
// because one account could then fill the queue.
type fairQueue struct {
	virtualTime float64
	accounts    map[core.AccountID]*accountQueue
	backlogged  ordered.Heap[*accountQueue]
	byAttempt   map[core.AttemptID]*accountQueue
}

func newFairQueue() fairQueue {
	return fairQueue{
		accounts: map[core.AccountID]*accountQueue{}, byAttempt: map[core.AttemptID]*accountQueue{},
		backlogged: ordered.Heap[*accountQueue]{
			Index: func(account *accountQueue) *int { return &account.heapIndex }, Less: earlierStart,
		},
	}
}

func earlierStart(a, b *accountQueue) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.id < b.id
}

// ahead returns how many attempts are placed before a new one of an account if all accounts get an equal share, and that one.
func (q *fairQueue) ahead(id core.AccountID) int {
	own := 1
	if account := q.accounts[id]; account != nil {
		own = max(own, len(account.items))
	}
	return min(q.size(), own*max(1, q.backlogged.Len()))
}

func (q *fairQueue) size() int { return len(q.byAttempt) }

// push adds an attempt to its account's queue, ordered by sortTime.
func (q *fairQueue) push(item *queueItem) {
	id := item.request.Account
	account := q.accounts[id]
	if account == nil {
		account = &accountQueue{id: id, heapIndex: -1}
		q.accounts[id] = account
	}
	account.weight = float64(max(1, item.request.Weight))
	if len(account.items) == 0 {
		account.startTag = max(account.startTag, q.virtualTime-account.virtualCredit())
	}
	i := len(account.items)
	for i > 0 && item.sortTime.Before(account.items[i-1].sortTime) {
		i--
	}
	account.items = slices.Insert(account.items, i, item)
	q.byAttempt[item.request.Attempt] = account
	if i == 0 {
		q.backlogged.Fix(account)
	}
}

// idleCreditTokens is how many tokens of unused share an account can save up. Without the credit, the second of two
// consecutive requests of a small account misses its target even if the account has been idle for seconds.
const idleCreditTokens = 20_000.0

// cost returns the cost of an attempt in tokens.
func cost(request *core.PlacementRequest) float64 {
	return float64(max(1, request.PromptTokens+request.OutputTokens))
}

// visitHeads calls visit with the first attempt of each account, in order of start tags, until visit returns false.
func (q *fairQueue) visitHeads(visit func(item *queueItem) bool) {
	q.backlogged.Ascend(func(account *accountQueue) bool { return visit(account.items[0]) })
}

// virtualCredit returns the idle credit of the account in virtual time.
func (account *accountQueue) virtualCredit() float64 { return idleCreditTokens / account.weight }

// removePlaced removes an attempt that was placed, charges its account and advances virtual time to the attempt's
// start.
func (q *fairQueue) removePlaced(item *queueItem) {
	account := q.byAttempt[item.request.Attempt]
	q.virtualTime = max(q.virtualTime, account.startTag)
	account.startTag += cost(&item.request) / account.weight
	if len(account.items) > 1 {
		q.backlogged.Fix(account)
	}
	q.unlink(item)
}

// pastTargetCostRatio is the fraction of its cost that an account is charged for an attempt that missed its target
// before it was placed. At 0, an account that floods the queue gains too much from such attempts; at 1, an account pays
// in full for an attempt that has already missed its target.
const pastTargetCostRatio = 0.25

// removePastTarget removes the first attempt of an account, which can no longer meet its target.
func (q *fairQueue) removePastTarget(item *queueItem) {
	account := q.byAttempt[item.request.Attempt]
	account.startTag += pastTargetCostRatio * cost(&item.request) / account.weight
	q.backlogged.Fix(account)
	q.unlink(item)
}

// unlink removes an attempt without a charge to its account.
func (q *fairQueue) unlink(item *queueItem) {
	account := q.byAttempt[item.request.Attempt]
	delete(q.byAttempt, item.request.Attempt)
	if len(account.items) == 1 {
		q.backlogged.Remove(account)
		account.items = nil
		q.pruneAccounts(account)
		return
	}
	head := account.items[0] == item
	account.items = slices.DeleteFunc(account.items, func(other *queueItem) bool { return other == item })
	if head {
		q.backlogged.Fix(account)
	}
}

// pruneAccounts removes an empty account queue if the account has its full idle credit. Otherwise the queue stays.
// Above pruneThreshold queues, it also removes the other empty queues whose accounts have their full idle credit again.
func (q *fairQueue) pruneAccounts(account *accountQueue) {
	if account.startTag <= q.virtualTime-account.virtualCredit() {
		delete(q.accounts, account.id)
		return
	}
	if len(q.accounts) <= pruneThreshold {
		return
	}
	for id, other := range q.accounts {
		if len(other.items) == 0 && other.startTag <= q.virtualTime-other.virtualCredit() {
			delete(q.accounts, id)
		}
	}
}

// pruneThreshold is the number of account queues above which all empty ones are checked for removal.
const pruneThreshold = 4096

// find returns an attempt if it is queued here, and nil otherwise.
func (q *fairQueue) find(a core.AttemptID) *queueItem {
	if account := q.byAttempt[a]; account != nil {
		for _, item := range account.items {
			if item.request.Attempt == a {
				return item
			}
		}
	}
	return nil
}

// remove removes an attempt, if it is queued here, without a charge to its account.
func (q *fairQueue) remove(a core.AttemptID) {
	if item := q.find(a); item != nil {
		q.unlink(item)
	}
}

// removeWhere removes the matching attempts and returns them in order of arrivedAt.
func (q *fairQueue) removeWhere(match func(*queueItem) bool) []*queueItem {
	var out []*queueItem
	for _, account := range q.accounts {
		for _, item := range account.items {
			if match(item) {
				out = append(out, item)
			}
		}
	}
	for _, item := range out {
		q.unlink(item)
	}
	slices.SortFunc(out, func(a, b *queueItem) int {
		if d := a.arrivedAt.Compare(b.arrivedAt); d != 0 {
			return d
		}
		return a.request.Attempt.Compare(b.request.Attempt)
	})
	return out
}
