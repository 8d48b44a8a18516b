package admission

import (
	"fmt"
	"time"

	"oleanderlever/core"
)

// Count has the numbers of decisions on the attempts of one priority.
type Count struct{ Placed, PlacedLate, Displaced, RefusedOnArrival, RefusedLater int64 }

// Counts has the numbers of decisions, by priority, and compares forecasts with what came.
type Counts struct {
	ByPriority [core.PriorityLevels]Count
	// Forecasts is the number of placed attempts that had a forecast. ForecastWait, ActualWait and ForecastError are the sums of
	// the waits that were forecast, of those that came, and of their differences.
	Forecasts     int64
	ForecastWait  time.Duration
	ActualWait    time.Duration
	ForecastError time.Duration
}

func (c *Counts) of(item *Item) *Count { return &c.ByPriority[item.Level] }

// Started counts an attempt that is placed now.
func (c *Counts) Started(item *Item, now time.Time) {
	c.of(item).Placed++
	if item.late {
		c.of(item).PlacedLate++
	}
	if !item.Forecast.Known {
		return
	}
	waited := now.Sub(item.QueuedAt)
	c.Forecasts++
	c.ForecastWait += item.Forecast.Wait
	c.ActualWait += waited
	c.ForecastError += (waited - item.Forecast.Wait).Abs()
}

// Add adds the counts of another pool.
func (c *Counts) Add(other *Counts) {
	for i := range c.ByPriority {
		a, b := &c.ByPriority[i], &other.ByPriority[i]
		*a = Count{
			Placed: a.Placed + b.Placed, PlacedLate: a.PlacedLate + b.PlacedLate, Displaced: a.Displaced + b.Displaced,
			RefusedOnArrival: a.RefusedOnArrival + b.RefusedOnArrival, RefusedLater: a.RefusedLater + b.RefusedLater,
		}
	}
	c.Forecasts += other.Forecasts
	c.ForecastWait += other.ForecastWait
	c.ActualWait += other.ActualWait
	c.ForecastError += other.ForecastError
}

// Gauges reports the counts of the priorities that had requests, and the mean waits of the attempts that had a forecast.
func (c *Counts) Gauges(set func(name string, value int64)) {
	for i, n := range c.ByPriority {
		if n == (Count{}) {
			continue
		}
		for name, value := range map[string]int64{
			"placed": n.Placed, "placedLate": n.PlacedLate, "displaced": n.Displaced, "refusedOnArrival": n.RefusedOnArrival,
			"refusedLater": n.RefusedLater,
		} {
			set(fmt.Sprintf("%sPriority%d", name, i), value)
		}
	}
	if c.Forecasts > 0 {
		mean := func(sum time.Duration) int64 { return (sum / time.Duration(c.Forecasts)).Milliseconds() }
		set("forecasts", c.Forecasts)
		set("forecastWaitMs", mean(c.ForecastWait))
		set("actualWaitMs", mean(c.ActualWait))
		set("forecastErrorMs", mean(c.ForecastError))
	}
}
