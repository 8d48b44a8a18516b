package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestFaultySettingsEndWithCodeTwo(t *testing.T) {
	binary := build(t)
	folder := t.TempDir()
	broken := filepath.Join(folder, "broken.toml")
	require.NoError(t, os.WriteFile(broken, []byte("host = "), 0o600))
	unknown := filepath.Join(folder, "unknown.toml")
	require.NoError(t, os.WriteFile(unknown, []byte("hots = \"x\"\n"), 0o600))
	for path, want := range map[string]string{
		filepath.Join(folder, "missing.toml"): "no such file",
		broken:                                "line 1",
		unknown:                               "line 1: hots",
		folder:                                "is a directory",
	} {
		var complaint bytes.Buffer
		c := exec.Command(binary, "host", "--settings", path)
		c.Stderr = &complaint
		require.Error(t, c.Run())
		require.Equal(t, 2, c.ProcessState.ExitCode(), path)
		require.Contains(t, complaint.String(), want)
	}
}

// A host reads its seeds again on SIGHUP and when the file changes; faulty settings change nothing, and it ends on SIGTERM.
func TestSettingsAreReadAgain(t *testing.T) {
	binary := build(t)
	path := filepath.Join(t.TempDir(), "host.toml")
	hosts, control, metrics := free(t), free(t), free(t)
	write := func(seeds string) {
		text := fmt.Sprintf(`host = "127.0.0.1"
dataCentre = "a"
roles = ["keeper"]
dataFolder = %q
keepersFrom = "seeds"
bootstrap = true
seeds = [%s]
trustNetwork = true
[listen]
hosts = %q
metrics = %q
[platform]
control = %q
`, filepath.Join(filepath.Dir(path), "data"), seeds, hosts, metrics, control)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(fmt.Sprintf("%q", hosts))
	out := &output{}
	c := exec.Command(binary, "host", "--settings", path)
	c.Stdout, c.Stderr = out, out
	require.NoError(t, c.Start())
	defer func() { _ = c.Process.Kill() }()
	says := func(words ...string) func() bool {
		return func() bool {
			for line := range strings.Lines(out.String()) {
				all := true
				for _, w := range words {
					all = all && strings.Contains(line, w)
				}
				if all {
					return true
				}
			}
			return false
		}
	}
	require.Eventually(t, says("host started"), patience, 50*time.Millisecond)

	write(fmt.Sprintf("%q, %q", hosts, free(t)))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, says("settings reloaded", `"seeds":2`, "signal"), patience, 50*time.Millisecond)
	write(fmt.Sprintf("%q, %q, %q", hosts, free(t), free(t)))
	require.Eventually(t, says("settings reloaded", `"seeds":3`, "changed"), patience, 50*time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600))
	require.Eventually(t, says("settings not reloaded"), patience, 50*time.Millisecond)

	answer, err := http.Get("http://" + metrics.String() + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	for _, name := range []string{"gauges", "decisions", "answerMicroseconds", "logLinesDropped"} {
		require.Contains(t, string(text), name)
	}

	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait())
	require.Contains(t, out.String(), "host ended")
}
