package admission

import (
	"math"
	"time"

	"oleanderlever/core"
)

// Forecast is when a queued attempt is expected to start.
type Forecast struct {
	// Known is false if too little was measured for a forecast.
	Known bool
	// Wait is the time until the attempt starts, and OnTime whether it can meet its target then.
	Wait   time.Duration
	OnTime bool
	// Ahead is the work that starts before it, and MoreUrgent the part of it that is of a more urgent priority.
	Ahead      Work
	MoreUrgent Work
}

// maxForecast is the longest wait that a forecast tells.
const maxForecast = time.Hour

// maxAccounts is the number of accounts of a level whose work is counted for the forecast of a new attempt. With more, the
// forecast is too early, until the next review, which counts all.
const maxAccounts = 256

// outlook is what a pool can start from now on.
type outlook struct {
	now      time.Time
	capacity *Capacity
	// supply is the work that the pool starts in a second. left has for each priority what more urgent ones leave of it, and at
	// the end what is left for late attempts.
	supply Work
	left   [core.PriorityLevels + 1]Work
}

// outlook returns what the pool can start, or false if too little was measured.
func (r *Rates) outlook(now time.Time, c *Capacity) (outlook, bool) {
	o := outlook{now: now, capacity: c}
	if !r.areMeasured(now) {
		return o, false
	}
	o.supply = r.supply(now, c)
	left := o.supply
	for i := range core.PriorityLevels {
		o.left[i] = left
		left = left.Minus(r.demandOf(now, i))
	}
	o.left[core.PriorityLevels] = left
	return o, true
}

// waitOnTime returns the time until an on-time attempt starts that has some work ahead of it, of which a part is of its own
// priority: that of what more urgent work leaves, or of the share that is kept for its priority if that is less.
func (o *outlook) waitOnTime(priority int, ahead, aheadOwn, own Work) time.Duration {
	return min(o.wait(ahead, own, o.left[priority]), o.wait(aheadOwn, own, o.supply.Times(minShare)))
}

// waitLate returns the time until a late attempt starts that has some work ahead of it, of which a part is late too.
func (o *outlook) waitLate(ahead, aheadLate, own Work) time.Duration {
	return min(o.wait(ahead, own, o.left[core.PriorityLevels]), o.wait(aheadLate, own, o.supply.Times(1.0/latePlacementInterval)))
}

// wait returns the time until an attempt starts that has some work ahead of it, where the given work starts in a second.
func (o *outlook) wait(ahead, own, rate Work) time.Duration {
	seconds := max(
		timeFor(own.Memory, ahead.Memory+own.Memory-o.capacity.Free.Memory, rate.Memory),
		timeFor(own.Slots, ahead.Slots+own.Slots-o.capacity.Free.Slots, rate.Slots),
	)
	if o.capacity.PrefillRate > 0 {
		seconds = max(seconds, o.capacity.PrefillDelay.Seconds()+timeFor(own.Prompt, ahead.Prompt, rate.Prompt))
	}
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

// timeOf returns the time in which an amount of work starts at a rate.
func (o *outlook) timeOf(w, rate Work) time.Duration {
	seconds := max(timeFor(w.Memory, w.Memory, rate.Memory), timeFor(w.Slots, w.Slots, rate.Slots))
	if o.capacity.PrefillRate > 0 {
		seconds = max(seconds, timeFor(w.Prompt, w.Prompt, rate.Prompt))
	}
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

// timeFor returns the seconds until an amount is available at a rate; it is zero for an attempt that needs nothing of it.
func timeFor(own, amount, rate float64) float64 {
	switch {
	case own == 0 || amount <= 0:
		return 0
	case rate <= 0:
		return math.Inf(1)
	}
	return amount / rate
}

// startsInTime reports whether an attempt that waits for some time can meet its target.
func (o *outlook) startsInTime(item *Item, wait time.Duration) bool {
	return !item.late && (item.LateAt.IsZero() || !o.now.Add(wait).After(item.LateAt))
}

// forecast returns when a queued attempt is expected to start.
func (q *Queue) forecast(item *Item, o *outlook) Forecast {
	f := Forecast{Known: true}
	for _, l := range q.onTime[:item.Level] {
		f.Ahead = f.Ahead.Plus(l.total())
	}
	lateMoreUrgent := Work{}
	for _, l := range q.late[:item.Level*lateKinds] {
		lateMoreUrgent = lateMoreUrgent.Plus(l.total())
	}
	f.MoreUrgent = f.Ahead.Plus(lateMoreUrgent)
	onTime := f.Ahead
	if !item.late {
		inLevel := item.level.aheadOf(item)
		f.Ahead = onTime.Plus(inLevel)
		f.Wait = o.waitOnTime(item.Level, f.Ahead, inLevel, item.Work)
		if f.OnTime = o.startsInTime(item, f.Wait); f.OnTime {
			return f
		}
		onTime = onTime.Minus(item.Work)
	}
	// It will be late: all attempts that are on time then go before it.
	for _, l := range q.onTime[item.Level:] {
		onTime = onTime.Plus(l.total())
	}
	late := lateMoreUrgent
	own := lateLevel(item)
	for _, l := range q.late[item.Level*lateKinds : own] {
		late = late.Plus(l.total())
	}
	if item.late {
		late = late.Plus(item.level.aheadOf(item))
	} else if l := q.late[own]; l != nil {
		late = late.Plus(l.aheadOfNext(item))
	}
	f.Ahead = onTime.Plus(late)
	f.Wait = o.waitLate(f.Ahead, late, item.Work)
	return f
}

// total returns the work of a level.
func (l *level) total() Work {
	if l == nil {
		return Work{}
	}
	return l.work
}

// aheadOf returns the work in the level that starts before one of its attempts.
func (l *level) aheadOf(item *Item) Work {
	a := item.account
	ahead, cost := a.work, a.cost
	for i := len(a.items) - 1; i >= a.head; i-- {
		ahead, cost = ahead.Minus(a.items[i].Work), cost-a.items[i].cost()
		if a.items[i] == item {
			break
		}
	}
	return ahead.Plus(l.othersBefore(a, a.startTag+cost/a.weight))
}

// aheadOfNext returns the work in the level that would start before an attempt which is not in it yet.
func (l *level) aheadOfNext(item *Item) Work {
	a := l.accounts[item.Request.Account]
	if a == nil {
		weight := float64(max(1, item.Request.Weight))
		return l.othersBefore(nil, l.virtualTime-idleCreditTokens/weight)
	}
	start := a.startTag
	if a.size() == 0 {
		start = max(start, l.virtualTime-a.virtualCredit())
	}
	return a.work.Plus(l.othersBefore(a, start+a.cost/a.weight))
}

// othersBefore returns the work of other accounts that starts before a virtual time.
func (l *level) othersBefore(own *account, tag float64) Work {
	ahead := Work{}
	accounts := l.backlogged.Items()
	for _, a := range accounts[:min(len(accounts), maxAccounts)] {
		cost := (tag - a.startTag) * a.weight
		if a == own || cost <= 0 {
			continue
		}
		ahead = ahead.Plus(a.work.Times(min(1, cost/a.cost)))
	}
	return ahead
}
