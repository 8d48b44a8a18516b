package admission

import (
	"math"
	"time"

	"oleanderlever/core"
)

const (
	// freedPeriod is the time over which the rate of freed memory and slots is measured. Responses take some seconds.
	freedPeriod = 3 * time.Second
	// The demand of a priority is the lower of the averages over shortDemandPeriod and longDemandPeriod: a burst of a few
	// seconds must not count as lasting, and one that is over must not count any more.
	shortDemandPeriod = time.Second
	longDemandPeriod  = 30 * time.Second
	// A forecast needs minSamples attempts that ended and minMeasuredTime since the first of them.
	minSamples      = 20
	minMeasuredTime = time.Second
	// sampleWeight is the weight of the newest attempt in the mean time for which attempts hold memory and slots.
	sampleWeight = 0.02
)

// workRate is the rate of work per second, averaged with exponentially decaying weights.
type workRate struct {
	sum Work
	at  time.Time
}

// decay lowers the sum for the time that has passed.
func (r *workRate) decay(now time.Time, period time.Duration) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.sum = r.sum.Times(math.Exp(-elapsed.Seconds() / period.Seconds()))
		r.at = now
	}
}

func (r *workRate) add(now time.Time, w Work, period time.Duration) {
	r.decay(now, period)
	r.sum = r.sum.Plus(w)
}

// perSecond returns the rate, measured for the given time.
func (r *workRate) perSecond(now time.Time, period, measured time.Duration) Work {
	r.decay(now, period)
	share := 1 - math.Exp(-measured.Seconds()/period.Seconds())
	if share <= 0 {
		return Work{}
	}
	return r.sum.Times(1 / (period.Seconds() * share))
}

// Rates are the measured rates of a pool. The zero value has measured nothing.
type Rates struct {
	samples int
	// firstSample is when the first attempt ended here.
	firstSample time.Time
	freed       workRate
	// memoryTime and slotTime are the mean times in seconds for which attempts hold memory and slots, weighted by the memory.
	memoryTime float64
	slotTime   float64
	meanMemory float64
	demand     [core.PriorityLevels]demand
	// firstDemand is when the first attempt was asked for.
	firstDemand time.Time
}

// demand is the work of the attempts of a priority that are expected to start in time.
type demand struct{ short, long workRate }

// Freed records that an attempt has ended which held memory and a slot for some time.
func (r *Rates) Freed(now time.Time, w Work, held time.Duration) {
	if r.samples == 0 {
		r.firstSample = now
		r.memoryTime, r.slotTime, r.meanMemory = held.Seconds(), held.Seconds(), w.Memory
	}
	r.samples++
	r.freed.add(now, w, freedPeriod)
	r.slotTime += sampleWeight * (held.Seconds() - r.slotTime)
	r.meanMemory += sampleWeight * (w.Memory - r.meanMemory)
	if r.meanMemory > 0 {
		r.memoryTime += min(1, sampleWeight*w.Memory/r.meanMemory) * (held.Seconds() - r.memoryTime)
	}
}

// Demanded records an attempt that is expected to start in time.
func (r *Rates) Demanded(now time.Time, priority int, w Work) {
	if r.firstDemand.IsZero() {
		r.firstDemand = now
	}
	d := &r.demand[priority]
	d.short.add(now, w, shortDemandPeriod)
	d.long.add(now, w, longDemandPeriod)
}

// areMeasured reports whether enough attempts have ended for a forecast.
func (r *Rates) areMeasured(now time.Time) bool {
	return r.samples >= minSamples && now.Sub(r.firstSample) >= minMeasuredTime
}

// demandOf returns the work per second that is asked for in a priority.
func (r *Rates) demandOf(now time.Time, priority int) Work {
	d := &r.demand[priority]
	if d.long.at.IsZero() {
		return Work{}
	}
	measured := now.Sub(r.firstDemand)
	short, long := d.short.perSecond(now, shortDemandPeriod, measured), d.long.perSecond(now, longDemandPeriod, measured)
	return Work{Memory: min(short.Memory, long.Memory), Prompt: min(short.Prompt, long.Prompt), Slots: min(short.Slots, long.Slots)}
}

// Capacity is what the upstreams of a pool can take now and later.
type Capacity struct {
	// Free is the memory and the slots that are free now, Reserved those that running attempts hold.
	Free, Reserved Work
	// PrefillRate is the number of prompt tokens that the prefill engines compute in a second, zero if there are none or it is
	// not known. PrefillDelay is the time until one of them takes a further prompt.
	PrefillRate  float64
	PrefillDelay time.Duration
}

// supply returns the work per second that the pool can start under load: memory and slots as they are freed, or as running
// attempts are expected to free them if that is more, since a pool that was not full has freed less than it could.
func (r *Rates) supply(now time.Time, c *Capacity) Work {
	s := r.freed.perSecond(now, freedPeriod, now.Sub(r.firstSample))
	s.Prompt = c.PrefillRate
	if r.memoryTime > 0 {
		s.Memory = max(s.Memory, c.Reserved.Memory/r.memoryTime)
	}
	if r.slotTime > 0 {
		s.Slots = max(s.Slots, c.Reserved.Slots/r.slotTime)
	}
	return s
}
