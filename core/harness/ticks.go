package harness

import (
	"time"

	"oleanderlever/core"
)

// RunTicks advances the time of one kernel: it calls step with a Tick at each of the kernel's deadlines and returns
// the time at the end.
func RunTicks(k *core.Kernel, now time.Time, duration time.Duration, step func(now time.Time, ev core.Event)) time.Time {
	for end := now.Add(duration); ; {
		next := k.NextDeadline()
		if next.IsZero() || next.After(end) {
			return end
		}
		now = next
		step(now, core.Tick{})
	}
}
