package admission

import (
	"time"

	"oleanderlever/core"
)

// Verdict is what is decided on an attempt that does not start now (Queue.Next).
type Verdict uint8

// The verdicts.
const (
	// Wait means that the attempt stays in the queue until its turn comes.
	Wait Verdict = iota + 1
	// Reject means that it is refused, since it can't start in time to be of use to its caller.
	Reject
	// Displace means that it is refused after it was queued, since more urgent work came.
	Displace
)

// Decision is the verdict on an attempt, with the forecast that led to it.
type Decision struct {
	Item     *Item
	Verdict  Verdict
	Forecast Forecast
	// RetryAfter is when the caller of a refused attempt should come back; zero means that it is not known.
	RetryAfter time.Duration
}

const (
	// An attempt is refused if it is expected to wait longer than the time in which it must start by this ratio: hopelessRatio on
	// arrival, queuedHopelessRatio once it is queued. The rates vary, and each review of the queue could refuse what the rates of
	// a moment don't allow; a caller that is refused comes back once only. For a caller that was refused before, and will not
	// come back, both are multiplied by returningRatio.
	hopelessRatio       = 2.0
	queuedHopelessRatio = 4.0
	returningRatio      = 2.0
	// minReturnTime and maxReturnTime limit how long refused callers are asked to stay away. A caller comes back only if that is
	// a third of the time that it has left at most, when it hears of it; maxReturnRatio leaves a tenth of that for the way.
	minReturnTime  = 50 * time.Millisecond
	maxReturnTime  = 5 * time.Second
	maxReturnRatio = 0.3
)

// Controller holds the queue of a pool and decides on its attempts.
type Controller struct {
	*Queue
	Rates  Rates
	Counts Counts
	// returns has for each priority the time at which the forecast has room for the next refused caller, lateReturns that for
	// the next one which can't stay away until there is room.
	returns     [core.PriorityLevels]time.Time
	lateReturns [core.PriorityLevels]time.Time
	review      review
}

// NewController returns a controller that has measured nothing.
func NewController() *Controller { return &Controller{Queue: NewQueue()} }

// Decide decides on an attempt that was pushed to the queue and not placed. A rejected one is removed.
func (c *Controller) Decide(item *Item, now time.Time, capacity *Capacity) Decision {
	o, ok := c.Rates.outlook(now, capacity)
	if ok {
		item.Forecast = c.forecast(item, &o)
	}
	d := Decision{Item: item, Verdict: Wait, Forecast: item.Forecast}
	if ok && isHopeless(item, d.Forecast.Wait, now, hopelessRatio) {
		c.Remove(item.Request.Attempt)
		d.Verdict, d.RetryAfter = Reject, c.returnTime(item, d.Forecast, now, &o)
		c.Counts.of(item).RefusedOnArrival++
		return d
	}
	if !ok || d.Forecast.OnTime {
		c.Rates.Demanded(now, item.Level, item.Work)
	}
	return d
}

// isHopeless reports whether an attempt that waits for some time starts too late to be of use to its caller, by a ratio.
func isHopeless(item *Item, wait time.Duration, now time.Time, ratio float64) bool {
	if item.Request.Returning {
		ratio *= returningRatio
	}
	return !item.LastStart.IsZero() && wait.Seconds() > ratio*max(0, item.LastStart.Sub(now).Seconds())
}

// MakeRoom displaces the last attempt in the order of the queue if a new one goes before it. It reports whether it did.
func (c *Controller) MakeRoom(item *Item, now time.Time, capacity *Capacity) (Decision, bool) {
	last := c.last()
	if last == nil || (!last.late && last.Level <= item.Level) {
		return Decision{}, false
	}
	c.Counts.of(last).Displaced++
	return c.remove(last, Displace, now, capacity), true
}

// Expire removes the matching attempts, which have waited too long, and returns the decisions on them in order of arrival.
func (c *Controller) Expire(now time.Time, capacity *Capacity, match func(*Item) bool) []Decision {
	var out []Decision
	for _, item := range c.findWhere(match) {
		c.Counts.of(item).RefusedLater++
		out = append(out, c.remove(item, Reject, now, capacity))
	}
	return out
}

// remove removes a queued attempt and returns the decision on it. Its caller should come back when it would have started.
func (c *Controller) remove(item *Item, v Verdict, now time.Time, capacity *Capacity) Decision {
	d := Decision{Item: item, Verdict: v, Forecast: item.Forecast}
	if o, ok := c.Rates.outlook(now, capacity); ok && !item.LastStart.IsZero() {
		d.Forecast = c.forecast(item, &o)
		d.RetryAfter = c.returnTime(item, d.Forecast, now, &o)
	}
	c.Remove(item.Request.Attempt)
	return d
}

// returnTime returns when a refused caller should come back: when the forecast has room, one caller after the other, and not
// so late that it would not come. If the room is too late for that, callers are spread over the second half of their time.
func (c *Controller) returnTime(item *Item, f Forecast, now time.Time, o *outlook) time.Duration {
	limit := maxReturnTime
	if !item.CallerDeadline.IsZero() {
		limit = max(0, time.Duration(maxReturnRatio*float64(item.CallerDeadline.Sub(now))))
	}
	next := later(now.Add(max(f.Wait, minReturnTime)), c.returns[item.Level])
	if next.Sub(now) <= limit {
		spacing := min(o.timeOf(item.Work, o.left[item.Level]), o.timeOf(item.Work, o.supply.Times(minShare)))
		c.returns[item.Level] = core.Earlier(next.Add(spacing), now.Add(maxReturnTime))
		return next.Sub(now)
	}
	soonest := now.Add(max(limit/2, min(limit, minReturnTime)))
	next = later(soonest, c.lateReturns[item.Level])
	if next.Sub(now) > limit {
		next = soonest
	}
	c.lateReturns[item.Level] = next.Add(o.timeOf(item.Work, o.supply))
	return next.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
