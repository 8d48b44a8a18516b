package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of trouble.
type Fault uint8

// The faults that a soak injects.
const (
	FaultKill Fault = iota
	FaultKillAll
	FaultPause
	FaultTerm
	FaultTermAfterTerm
	FaultHup
	FaultLoseDisk
	FaultCut
	FaultOneWay
	FaultSlow
	FaultReset
	FaultSilence
	FaultCutCallers
	FaultResetUpstreams
	FaultSilenceUpstreams
	FaultCutUpstream
	faultCount
)

var faultNames = [faultCount]string{
	"kill", "killAll", "pause", "term", "termAfterTerm", "hup", "loseDisk", "cut", "oneWay", "slow", "reset", "silence",
	"cutCallers", "resetUpstreams", "silenceUpstreams", "cutUpstream",
}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// takesHost reports whether a fault takes its host out of the majority while it lasts.
func (f Fault) takesHost() bool {
	switch f {
	case FaultKill, FaultKillAll, FaultPause, FaultTerm, FaultTermAfterTerm, FaultLoseDisk, FaultCut, FaultOneWay:
		return true
	}
	return false
}

// Event is one fault of a soak.
type Event struct {
	At    time.Duration
	Fault Fault
	// Target is the number of the host, or of the upstream for faults of upstreams.
	Target int
	// For is how long the fault lasts, where it does.
	For time.Duration
}

// String returns the event as it stands in a report.
func (e Event) String() string {
	return fmt.Sprintf("%v %s %d for %v", e.At, e.Fault, e.Target, e.For)
}

const (
	// meanPause is the mean time between two faults: less than one lasts, so that they overlap.
	meanPause = 700 * time.Millisecond
	// A fault lasts from shortFault to longFault, around the time of an election and of a lease.
	shortFault = 200 * time.Millisecond
	longFault  = 3 * time.Second
	// settleTime is how long a host that comes back counts as missing yet, longest after its disk was lost.
	settleTime = 2 * time.Second
	repairTime = 5 * time.Second
)

// plan draws the faults of a soak. At most one disk is away from the majority of three at a time, or two of five, so that
// whatever was acknowledged must survive; all processes may be killed at once, since their disks stay.
func plan(rng *rand.Rand, hosts, upstreams int, length time.Duration) []Event {
	var out []Event
	away := make([]time.Duration, hosts)
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() * float64(meanPause)) {
		e := Event{At: at, Fault: Fault(rng.IntN(int(faultCount))), Target: rng.IntN(hosts)}
		e.For = shortFault + time.Duration(rng.Int64N(int64(longFault-shortFault)))
		if e.Fault == FaultCutUpstream {
			e.Target = rng.IntN(upstreams)
		}
		if e.Fault.takesHost() && !fits(away, &e) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// fits reports whether enough hosts are there for a fault, and notes it if so.
func fits(away []time.Duration, e *Event) bool {
	until := e.At + e.For + settleTime
	if e.Fault == FaultLoseDisk {
		until = e.At + e.For + repairTime
	}
	missing := 0
	for n, till := range away {
		if till > e.At && n != e.Target {
			missing++
		}
	}
	if e.Fault == FaultKillAll {
		if missing > 0 || slices.Max(away) > e.At {
			return false
		}
		for n := range away {
			away[n] = until
		}
		return true
	}
	if missing >= (len(away)-1)/2 || away[e.Target] > e.At {
		return false
	}
	away[e.Target] = until
	return true
}
