package harness

import (
	"time"

	"oleanderlever/core"
)

// Pass lets a span go by for one kernel: step gets a Tick at each of its deadlines. It returns the time at the end.
func Pass(k *core.Kernel, now time.Time, span time.Duration, step func(now time.Time, ev core.Event)) time.Time {
	for end := now.Add(span); ; {
		next := k.NextDeadline()
		if next.IsZero() || next.After(end) {
			return end
		}
		now = next
		step(now, core.Tick{})
	}
}
