// Command standin plays the cases of the review: it starts the system's processes with the commands of the deploy file on
// loopback addresses and acts as its clients, servers and operator.
package main

import (
	"fmt"
	"os"
)

// The results of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether the rule was broken; trouble is false if the disruption is left out.
type scenario func(rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"drain-large-answer":   drainLargeAnswer,
	"drain-waiting-order":  drainWaitingOrder,
	"drain-slow-order":     drainSlowOrder,
	"leave-during-prefill": leaveDuringPrefill,
	"leave-after-restart":  leaveAfterRestart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.add("result: the rule was broken")
		return exitBroken
	}
	rec.add("result: the rule held")
	return exitHeld
}
