package admission

import (
	"time"

	"oleanderlever/core"
)

// cursor is the position of a review in the queue of one account.
type cursor struct {
	account *account
	next    int
	// tag is the virtual time at which the attempt at next starts.
	tag float64
}

// review is the memory of a review of the queue.
type review struct {
	cursors []cursor
	// late are the on-time attempts that will be late, in the order in which they were found.
	late    []*Item
	refused []Decision
}

// Review forecasts the start of all queued attempts and removes those that can't start in time to be of use. The result is
// valid until the next review.
func (c *Controller) Review(now time.Time, capacity *Capacity) []Decision {
	r := &c.review
	r.late, r.refused = r.late[:0], r.refused[:0]
	o, ok := c.Rates.outlook(now, capacity)
	if !ok || c.Len() == 0 {
		return nil
	}
	ahead := Work{}
	// starting is the work that is expected to start, by priority.
	starting := [core.PriorityLevels]Work{}
	moreUrgent := Work{}
	for _, l := range c.onTime {
		r.walk(l, func(item *Item) {
			if o.startsInTime(item, o.waitOnTime(item.Level, ahead, starting[item.Level], item.Work)) {
				ahead, starting[item.Level] = ahead.Plus(item.Work), starting[item.Level].Plus(item.Work)
				return
			}
			r.late = append(r.late, item)
		})
	}
	onTime := ahead
	for i, l := range c.late {
		if p := i / lateKinds; i%lateKinds == 0 && p > 0 {
			moreUrgent = moreUrgent.Plus(starting[p-1])
		}
		visit := func(item *Item) {
			f := Forecast{Known: true, Ahead: ahead, MoreUrgent: moreUrgent}
			f.Wait = o.waitLate(ahead, ahead.Minus(onTime), item.Work)
			if !isHopeless(item, f.Wait, now, queuedHopelessRatio) {
				ahead, starting[item.Level] = ahead.Plus(item.Work), starting[item.Level].Plus(item.Work)
				return
			}
			r.refused = append(r.refused, Decision{Item: item, Verdict: refusalOf(item, &f), Forecast: f})
		}
		r.walk(l, visit)
		for _, item := range r.late {
			if lateLevel(item) == i {
				visit(item)
			}
		}
	}
	for i := range r.refused {
		d := &r.refused[i]
		c.Remove(d.Item.Request.Attempt)
		d.RetryAfter = c.returnTime(d.Item, d.Forecast, now, &o)
		if d.Verdict == Displace {
			c.Counts.of(d.Item).Displaced++
		} else {
			c.Counts.of(d.Item).RefusedLater++
		}
	}
	return r.refused
}

// refusalOf returns why a queued attempt is refused: it is displaced if more urgent work than at its arrival goes before it.
func refusalOf(item *Item, f *Forecast) Verdict {
	if f.MoreUrgent.Memory > item.Forecast.MoreUrgent.Memory || f.MoreUrgent.Slots > item.Forecast.MoreUrgent.Slots {
		return Displace
	}
	return Reject
}

// walk visits the attempts of a level in the order in which they would be placed.
func (r *review) walk(l *level, visit func(*Item)) {
	if l.isEmpty() {
		return
	}
	r.cursors = r.cursors[:0]
	for _, a := range l.backlogged.Items() {
		r.cursors = append(r.cursors, cursor{account: a, next: a.head, tag: a.startTag})
	}
	// The accounts were in the order of a heap by their start tags, so the cursors are.
	for len(r.cursors) > 0 {
		first := &r.cursors[0]
		item := first.account.items[first.next]
		first.next++
		first.tag += item.cost() / first.account.weight
		if first.next == len(first.account.items) {
			last := len(r.cursors) - 1
			r.cursors[0] = r.cursors[last]
			r.cursors = r.cursors[:last]
		}
		r.down()
		visit(item)
	}
}

// down restores the order of the heap of cursors after its first element has changed.
func (r *review) down() {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(r.cursors); child++ {
			if r.cursors[child].before(&r.cursors[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		r.cursors[i], r.cursors[least] = r.cursors[least], r.cursors[i]
		i = least
	}
}

func (c *cursor) before(other *cursor) bool {
	if c.tag != other.tag {
		return c.tag < other.tag
	}
	return c.account.id < other.account.id
}
