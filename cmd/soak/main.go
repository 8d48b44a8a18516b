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
	Binary string        `long:"binary" required:"true" description:"the oleanderlever program"`
	First  uint64        `long:"first" default:"1" description:"first seed"`
	Seeds  uint64        `long:"seeds" default:"1" description:"how many seeds"`
	Hosts  int           `long:"hosts" default:"3" description:"host processes"`
	Length time.Duration `long:"length" default:"15s" description:"how long faults are injected"`
	Keep   string        `long:"keep" description:"folder for the logs of soaks that broke a promise"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	broken := 0
	for seed := o.First; seed < o.First+o.Seeds; seed++ {
		if !play(&o, seed) {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d broke a promise\n", o.Seeds, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// play runs one seed and prints what it came to.
func play(o *options, seed uint64) bool {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(soak.Config{Seed: seed, Binary: o.Binary, Folder: folder, Hosts: o.Hosts, Length: o.Length})
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v, logs in %s\n", seed, err, folder)
		return false
	}
	fmt.Printf("seed %d: %d orders, %d of %d streams whole, %d changes, first token %v and %v (p50, p99), refused %v\n",
		seed, r.Orders, r.Whole, r.Streams, r.Changes, r.FirstP50, r.FirstP99, r.Refused)
	if len(r.Broken) == 0 {
		return os.RemoveAll(folder) == nil
	}
	if o.Keep != "" {
		kept := filepath.Join(o.Keep, fmt.Sprint("seed-", seed))
		if err := os.Rename(folder, kept); err != nil {
			fmt.Fprintln(os.Stderr, err)
		} else {
			folder = kept
		}
	}
	for _, line := range append(r.Events, r.Broken...) {
		fmt.Println("  ", line)
	}
	fmt.Println("   logs in", folder)
	return false
}
