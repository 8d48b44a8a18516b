package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"oleanderlever/soak"
)

type options struct {
	Binary        string        `long:"binary" required:"true" description:"path of the oleanderlever program"`
	FirstSeed     uint64        `long:"first" default:"1" description:"first seed"`
	SeedCount     uint64        `long:"seeds" default:"1" description:"number of seeds"`
	Hosts         int           `long:"hosts" default:"3" description:"number of host processes"`
	FaultDuration time.Duration `long:"length" default:"15s" description:"time during which faults are injected"`
	KeepDir       string        `long:"keep" description:"directory for the data and logs of runs with violations"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	failed := 0
	for seed := opts.FirstSeed; seed < opts.FirstSeed+opts.SeedCount; seed++ {
		if !runSeed(&opts, seed) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", opts.SeedCount, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed, prints its results and reports whether it succeeded.
func runSeed(opts *options, seed uint64) bool {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(soak.Config{
		Seed: seed, Binary: opts.Binary, Dir: dir, Hosts: opts.Hosts, FaultDuration: opts.FaultDuration,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v, logs in %s\n", seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d orders, %d of %d streams complete, %d changes, first token %v and %v (p50, p99), failures %v\n",
		seed, report.Orders, report.CompleteStreams, report.Streams, report.Changes,
		report.FirstTokenP50, report.FirstTokenP99, report.FailuresByKind)
	if len(report.Violations) == 0 {
		return os.RemoveAll(dir) == nil
	}
	if opts.KeepDir != "" {
		keptDir := filepath.Join(opts.KeepDir, fmt.Sprint("seed-", seed))
		if err := os.Rename(dir, keptDir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		} else {
			dir = keptDir
		}
	}
	for _, line := range append(report.Events, report.Violations...) {
		fmt.Println("  ", line)
	}
	fmt.Println("   logs in", dir)
	return false
}
