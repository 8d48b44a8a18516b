package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/settings"
)

func example(t *testing.T, name string) string {
	text, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	return string(text)
}

func TestExamplesAreGood(t *testing.T) {
	for _, name := range []string{"single.toml", "fleet.toml"} {
		_, err := settings.Parse([]byte(example(t, name)))
		require.NoError(t, err, name)
	}
}

// Each wrong setting is refused by its name and line.
func TestWrongSettingsAreNamed(t *testing.T) {
	for _, c := range []struct{ name, file, old, replacement, want string }{
		{"unknown", "single.toml", `logLevel = "info"`, `logLevle = "info"`, "line 8: logLevle"},
		{"unknown in a table", "single.toml", "maxBodyBytes = 8388608", "maxBodyBites = 1", "line 18: requests.maxBodyBites"},
		{"no address", "single.toml", `callers = "127.0.0.1:7000"`, `callers = "localhost"`, "line 11: listen.callers"},
		{"same address", "single.toml", `callers = "127.0.0.1:7000"`, `callers = "127.0.0.1:7001"`, "line 12: listen.upstreams"},
		{"exposed", "single.toml", `operators = "127.0.0.1:7003"`, `operators = "0.0.0.0:7003"`, "line 14: listen.operators"},
		{"even keepers", "single.toml", `keepers = ["host-1"]`, `keepers = ["host-1", "host-2"]`, "line 5: keepers"},
		{"keeper without role", "single.toml", `roles = ["entry", "keeper"]`, `roles = ["entry"]`, "line 7: dataFolder"},
		{"keeper not listed", "single.toml", `keepers = ["host-1"]`, `keepers = ["host-2"]`, "line 5: keepers"},
		{"unknown role", "single.toml", `roles = ["entry", "keeper"]`, `roles = ["exit"]`, "line 4: roles"},
		{"short secret", "fleet.toml", `hostSecret = "replace-with-32-random-bytes"`, `hostSecret = "short"`, "line 23: credentials.hostSecret"},
		{"half of tls", "single.toml", "[requests]", "[tls]\ncertificate = \"a\"\n\n[requests]", "tls.key"},
		{"bad duration", "single.toml", `timeout = "60s"`, `timeout = "sixty"`, "line 19: requests.timeout"},
		{"tiny body", "single.toml", "maxBodyBytes = 8388608", "maxBodyBytes = 5", "line 18: requests.maxBodyBytes"},
	} {
		text := example(t, c.file)
		require.Contains(t, text, c.old, c.name)
		_, err := settings.Parse([]byte(strings.Replace(text, c.old, c.replacement, 1)))
		require.ErrorContains(t, err, c.want, c.name)
	}
}
