package admission

import (
	"time"

	"oleanderlever/core"
)

// Work is what an attempt, or a number of them, takes of a pool: engine memory, prompt tokens to prefill, and slots.
type Work struct{ Memory, Prompt, Slots float64 }

// Plus returns the sum of two amounts of work.
func (w Work) Plus(v Work) Work {
	return Work{Memory: w.Memory + v.Memory, Prompt: w.Prompt + v.Prompt, Slots: w.Slots + v.Slots}
}

// Minus returns the difference of two amounts of work.
func (w Work) Minus(v Work) Work {
	return Work{Memory: w.Memory - v.Memory, Prompt: w.Prompt - v.Prompt, Slots: w.Slots - v.Slots}
}

// Times returns a multiple of an amount of work.
func (w Work) Times(factor float64) Work {
	return Work{Memory: w.Memory * factor, Prompt: w.Prompt * factor, Slots: w.Slots * factor}
}

// Item is a queued attempt.
type Item struct {
	Request   core.PlacementRequest
	EntryHost core.HostID
	// ArrivedAt is when the caller made its first attempt, as far as known, QueuedAt when the attempt was queued here.
	ArrivedAt time.Time
	QueuedAt  time.Time
	// Deadline is when its wait for a placement ends, CallerDeadline when its caller's time ends; zero means unknown.
	Deadline       time.Time
	CallerDeadline time.Time
	// Level is the number of its priority, from 0, the most urgent.
	Level int
	// Work is what it takes of the pool.
	Work Work
	// LateAt is when it can no longer meet its target if it is placed then, without the wait for a prefill engine. Zero means
	// never.
	LateAt time.Time
	// LastStart is when it must be placed at the latest to be of use to its caller. Zero means that it is not known; the
	// attempt is then not refused by a forecast.
	LastStart time.Time
	// SortTime orders the attempts of one account in one priority.
	SortTime time.Time
	// Forecast is that of its arrival.
	Forecast Forecast

	level     *level
	account   *account
	late      bool
	headIndex int
	// checkAt is when it is checked next whether it is late.
	checkAt time.Time
}

// IsLate reports whether the attempt can no longer meet its target.
func (i *Item) IsLate() bool { return i.late }

// cost returns the cost of an attempt in tokens, which fair queueing shares between accounts.
func (i *Item) cost() float64 {
	if i.Request.PlainService {
		return callCost
	}
	return float64(max(1, i.Request.PromptTokens+i.Request.OutputTokens))
}

// callCost is the cost of a call to a plain service in tokens, about that of a request to an engine. With one token, the idle credit
// is 20,000 calls: an account with a burst of a few seconds came after all others for minutes.
const callCost = 3000
