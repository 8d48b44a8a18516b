package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/soak"
)

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "oleanderlever")
	out, err := exec.Command("go", "build", "-o", binary, "oleanderlever/cmd/oleanderlever").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

// Every promise holds under a short series of faults, and under the series that have broken one. A seed gives the same faults
// at the same times, though not the same interleaving of the processes.
func TestPromisesHoldUnderFaults(t *testing.T) {
	binary := build(t)
	for _, c := range []struct {
		seed   uint64
		length time.Duration
		cause  string
	}{
		{1, 4 * time.Second, "a first look at every kind of check"},
		{107, 10 * time.Second, "a silent connection to the dispatcher, whose bytes the proxy went on to acknowledge"},
		{145, 10 * time.Second, "a silent connection to a keeper while the leader lost its disk: no leader any more"},
		{150, 10 * time.Second, "silent connections to two hosts, one after the other"},
	} {
		t.Run(fmt.Sprintf("seed %d: %s", c.seed, c.cause), func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(soak.Config{Seed: c.seed, Binary: binary, Folder: t.TempDir(), Hosts: 3, Length: c.length})
			require.NoError(t, err)
			require.Empty(t, r.Broken, "events: %v", r.Events)
			require.NotZero(t, r.Whole)
			require.NotZero(t, r.Orders)
			require.NotZero(t, r.Changes)
		})
	}
}
