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

// output collects the output of a process.
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

func TestInvalidSettingsExitCode(t *testing.T) {
	binary := buildBinary(t)
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.toml")
	require.NoError(t, os.WriteFile(broken, []byte("host = "), 0o600))
	unknown := filepath.Join(dir, "unknown.toml")
	require.NoError(t, os.WriteFile(unknown, []byte("hots = \"x\"\n"), 0o600))
	for path, want := range map[string]string{
		filepath.Join(dir, "missing.toml"): "no such file",
		broken:                             "line 1",
		unknown:                            "line 1: hots",
		dir:                                "is a directory",
	} {
		var stderr bytes.Buffer
		c := exec.Command(binary, "host", "--settings", path)
		c.Stderr = &stderr
		require.Error(t, c.Run())
		require.Equal(t, 2, c.ProcessState.ExitCode(), path)
		require.Contains(t, stderr.String(), want)
	}
}

// A host reloads its seeds on SIGHUP and when the file changes, ignores invalid settings, and exits on SIGTERM.
func TestSettingsReload(t *testing.T) {
	binary := buildBinary(t)
	path := filepath.Join(t.TempDir(), "host.toml")
	hosts, control, metrics := freeAddr(t), freeAddr(t), freeAddr(t)
	write := func(seeds string) {
		text := fmt.Sprintf(`host = "%v"
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
`, hosts.Addr(), filepath.Join(filepath.Dir(path), "data"), seeds, hosts, metrics, control)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write(fmt.Sprintf("%q", hosts))
	out := &output{}
	c := exec.Command(binary, "host", "--settings", path)
	c.Stdout, c.Stderr = out, out
	require.NoError(t, c.Start())
	defer func() { _ = c.Process.Kill() }()
	logged := func(words ...string) func() bool {
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
	require.Eventually(t, logged("host started"), testTimeout, 50*time.Millisecond)

	write(fmt.Sprintf("%q, %q", hosts, freeAddr(t)))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, logged("settings reloaded", `"seeds":2`, "signal"), testTimeout, 50*time.Millisecond)
	write(fmt.Sprintf("%q, %q, %q", hosts, freeAddr(t), freeAddr(t)))
	require.Eventually(t, logged("settings reloaded", `"seeds":3`, "changed"), testTimeout, 50*time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("nonsense"), 0o600))
	require.Eventually(t, logged("settings not reloaded"), testTimeout, 50*time.Millisecond)

	response, err := http.Get("http://" + metrics.String() + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	for _, name := range []string{"gauges", "decisions", "answerMicroseconds", "logLinesDropped"} {
		require.Contains(t, string(text), name)
	}

	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	require.NoError(t, c.Wait())
	require.Contains(t, out.String(), "host ended")
}
