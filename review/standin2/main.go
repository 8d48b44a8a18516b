// Command standin2 plays the cases of the second review: it starts the project's hosts as separate processes on loopback
// addresses, with stand-ins for the platform, its operator, its runners and its clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// scenario is one case: its folder and whether its disruption takes place.
type scenario struct {
	record  *record
	trouble bool
	fleet   *fleet
}

var scenarios = map[string]func(*scenario) error{
	"6": playPreempted,
	"7": playHead,
	"8": playLostSeed,
	"9": playSlowReader,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run := scenarios[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	out, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.close()
	s := &scenario{record: out, trouble: os.Getenv("TROUBLE") != "0"}
	out.line("case %s, trouble %v", name, s.trouble)
	defer s.stop()
	ended := make(chan error, 1)
	go func() { ended <- run(s) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(caseTimeout):
		err = errors.New("the case takes too long")
	}
	switch {
	case err == nil:
		out.line("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		out.line("verdict: %v", err)
		return exitBroken
	}
	out.line("verdict: the case could not run: %v", err)
	return exitFailed
}

func (s *scenario) stop() {
	if s.fleet != nil {
		s.fleet.stop()
	}
}
