package dispatch

import (
	"slices"
	"time"

	"oleanderlever/core"
)

// waiting is an attempt in the queue.
type waiting struct {
	ask      core.PlaceAsk
	from     core.HostID
	start    float64
	arrived  time.Time
	deadline time.Time
}

// fairQueue shares a pool between client accounts by token cost.
//
// It is start-time fair queueing (Goyal, Vin, Cheng 1996): each attempt starts where its account's last one ended in
// virtual time, and the earliest start goes first. Deficit round robin was rejected, since an attempt of tens of
// thousands of tokens would make its rounds long; first come first served, since one account can then fill the queue.
type fairQueue struct {
	virtual  float64
	finish   map[core.AccountID]float64
	accounts map[core.AccountID][]*waiting
	size     int
}

func newFairQueue() fairQueue {
	return fairQueue{finish: map[core.AccountID]float64{}, accounts: map[core.AccountID][]*waiting{}}
}

// push puts an attempt at the end of its account's queue.
func (q *fairQueue) push(w *waiting) {
	id := w.ask.Account
	w.start = max(q.virtual, q.finish[id])
	q.finish[id] = w.start + cost(&w.ask)/float64(max(1, w.ask.Weight))
	q.accounts[id] = append(q.accounts[id], w)
	q.size++
}

// cost is what an attempt takes of a pool, in tokens.
func cost(a *core.PlaceAsk) float64 { return float64(max(1, a.Prompt+a.Output)) }

// heads returns the first attempt of each account, the earliest start first.
func (q *fairQueue) heads() []*waiting {
	out := make([]*waiting, 0, len(q.accounts))
	for _, list := range q.accounts {
		out = append(out, list[0])
	}
	slices.SortFunc(out, func(a, b *waiting) int {
		switch {
		case a.start < b.start:
			return -1
		case a.start > b.start:
			return 1
		case a.ask.Account < b.ask.Account:
			return -1
		}
		return 1
	})
	return out
}

// pop takes out the first attempt of an account and moves virtual time on to it.
func (q *fairQueue) pop(w *waiting) {
	q.virtual = max(q.virtual, w.start)
	q.drop(w)
}

func (q *fairQueue) drop(w *waiting) {
	id := w.ask.Account
	list := slices.DeleteFunc(q.accounts[id], func(o *waiting) bool { return o == w })
	q.size--
	if len(list) > 0 {
		q.accounts[id] = list
		return
	}
	delete(q.accounts, id)
	if q.finish[id] <= q.virtual {
		delete(q.finish, id)
	}
}

func (q *fairQueue) find(a core.AttemptID, account core.AccountID) *waiting {
	for _, w := range q.accounts[account] {
		if w.ask.Attempt == a {
			return w
		}
	}
	return nil
}

// remove takes an attempt out wherever it stands.
func (q *fairQueue) remove(a core.AttemptID) *waiting {
	for _, list := range q.accounts {
		for _, w := range list {
			if w.ask.Attempt == a {
				q.drop(w)
				return w
			}
		}
	}
	return nil
}

// late takes out the attempts that pass a test, in order of their arrival.
func (q *fairQueue) late(test func(*waiting) bool) []*waiting {
	var out []*waiting
	for _, list := range q.accounts {
		for _, w := range list {
			if test(w) {
				out = append(out, w)
			}
		}
	}
	for _, w := range out {
		q.drop(w)
	}
	slices.SortFunc(out, func(a, b *waiting) int {
		if d := a.arrived.Compare(b.arrived); d != 0 {
			return d
		}
		if a.ask.Attempt.String() < b.ask.Attempt.String() {
			return -1
		}
		return 1
	})
	return out
}
