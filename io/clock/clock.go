package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// origin is the wall-clock time of the first reading and the boot clock's value then.
var origin = sync.OnceValue(func() (o struct {
	wall time.Time
	boot time.Duration
},
) {
	o.wall, o.boot = time.Now().Round(0), bootTime()
	return o
})

// Now returns the time on a clock that never jumps and also counts while the machine is suspended. The monotonic part of
// time.Now stops during a suspension, so a lease that was measured with it would outlive its grantor's count.
func Now() time.Time {
	o := origin()
	return o.wall.Add(bootTime() - o.boot)
}

// Until returns how long it is until a time that was read from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic("clock: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
