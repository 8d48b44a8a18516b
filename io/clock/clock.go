package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// startReading is the first reading of the wall clock and the boot-time clock.
var startReading = sync.OnceValue(func() (start struct {
	wall time.Time
	boot time.Duration
},
) {
	start.wall, start.boot = time.Now().Round(0), bootTime()
	return start
})

// Now returns the time of a monotonic clock that includes the time for which the machine was suspended. The monotonic
// reading of time.Now stops during a suspension, so a holder that used it would keep a lease that its grantor considers
// expired.
func Now() time.Time {
	start := startReading()
	return start.wall.Add(bootTime() - start.boot)
}

// Until returns the duration until t, a time on the clock of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since version 2.6.39.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
