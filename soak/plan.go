package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of injected fault.
type Fault uint8

// The faults that a soak run injects.
const (
	FaultKill Fault = iota
	FaultKillAll
	FaultPause
	FaultTerm
	FaultTermAfterTerm
	FaultHup
	FaultLoseDisk
	FaultPartition
	FaultPartitionInbound
	FaultDelay
	FaultReset
	FaultBlackhole
	FaultPartitionCallers
	FaultResetUpstreams
	FaultBlackholeUpstreams
	FaultPartitionUpstream
	faultCount
)

// faultNames holds the names of the faults in reports.
var faultNames = [faultCount]string{
	"kill", "killAll", "pause", "term", "termAfterTerm", "hup", "loseDisk", "cut", "oneWay", "slow", "reset", "silence",
	"cutCallers", "resetUpstreams", "silenceUpstreams", "cutUpstream",
}

// String returns the name of the fault as printed in reports.
func (f Fault) String() string { return faultNames[f] }

// disablesHost reports whether the host can't take part in a majority while the fault lasts.
func (f Fault) disablesHost() bool {
	switch f {
	case FaultKill, FaultKillAll, FaultPause, FaultTerm, FaultTermAfterTerm, FaultLoseDisk, FaultPartition,
		FaultPartitionInbound:
		return true
	}
	return false
}

// Event is one fault that is injected at a given time.
type Event struct {
	At    time.Duration
	Fault Fault
	// Target is the index of the host, or of the upstream for FaultPartitionUpstream.
	Target int
	// Duration is how long the fault lasts. Faults that take effect at once ignore it.
	Duration time.Duration
}

// String returns the event as printed in reports.
func (e Event) String() string {
	return fmt.Sprintf("%v %s %d for %v", e.At, e.Fault, e.Target, e.Duration)
}

const (
	// meanFaultInterval is the mean time between two faults. It is shorter than a fault's mean duration, so that faults
	// overlap.
	meanFaultInterval = 700 * time.Millisecond
	// A fault lasts from minFaultDuration to maxFaultDuration, which covers the durations of an election and of a lease.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// rejoinTime is how long a host still counts as unavailable after its fault has ended. A host that lost its disk needs
	// diskRecoveryTime instead.
	rejoinTime       = 2 * time.Second
	diskRecoveryTime = 5 * time.Second
)

// planFaults returns a random series of faults. At most one of three hosts, or two of five, is unavailable at a time,
// so that everything acknowledged must survive. All processes may be killed at once, since that keeps their disks.
func planFaults(rng *rand.Rand, hosts, upstreams int, duration time.Duration) []Event {
	var events []Event
	unavailableUntil := make([]time.Duration, hosts)
	for at := time.Duration(0); at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		e := Event{At: at, Fault: Fault(rng.IntN(int(faultCount))), Target: rng.IntN(hosts)}
		e.Duration = minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if e.Fault == FaultPartitionUpstream {
			e.Target = rng.IntN(upstreams)
		}
		if e.Fault.disablesHost() && !reserveOutage(unavailableUntil, &e) {
			continue
		}
		events = append(events, e)
	}
	return events
}

// reserveOutage reports whether enough other hosts are available for a fault, and if so marks its hosts as unavailable.
func reserveOutage(unavailableUntil []time.Duration, e *Event) bool {
	until := e.At + e.Duration + rejoinTime
	if e.Fault == FaultLoseDisk {
		until = e.At + e.Duration + diskRecoveryTime
	}
	unavailable := 0
	for n, hostUntil := range unavailableUntil {
		if hostUntil > e.At && n != e.Target {
			unavailable++
		}
	}
	if e.Fault == FaultKillAll {
		if unavailable > 0 || slices.Max(unavailableUntil) > e.At {
			return false
		}
		for n := range unavailableUntil {
			unavailableUntil[n] = until
		}
		return true
	}
	if unavailable >= (len(unavailableUntil)-1)/2 || unavailableUntil[e.Target] > e.At {
		return false
	}
	unavailableUntil[e.Target] = until
	return true
}
