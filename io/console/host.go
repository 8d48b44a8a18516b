package console

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/io/daemon"
	"oleanderlever/io/settings"
	"oleanderlever/io/telemetry"
)

type hostCommand struct {
	Settings string `long:"settings" required:"true" description:"TOML settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

const (
	// watchInterval is the time between checks of the settings file, which may change without a SIGHUP.
	watchInterval = 2 * time.Second
	// heapLimitRatio is the part of the memory limit that is the garbage collector's soft limit.
	heapLimitRatio = 0.7
	megabyte       = 1 << 20
	// shutdownMargin is the part of the drain timeout that is reserved for refusing the requests that are left and closing
	// the host, before the platform kills the process.
	shutdownMargin = 600 * time.Millisecond
)

// Execute runs a host until SIGINT or SIGTERM. The first signal drains the host; after a second one it refuses all
// requests that are left and ends.
func (c *hostCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Mark(err, errInvalidSettings)
	}
	if c.Check {
		return nil
	}
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log, err := telemetry.NewLog(out, s.LogLevel, s.Host)
	if err != nil {
		return errors.Mark(err, errInvalidSettings)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitRatio * float64(s.MemoryMB*megabyte)))
	}
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGINT, syscall.SIGTERM)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	d, err := daemon.Start(s, log)
	if err != nil {
		log.Error().Err(err).Msg("host failed to start")
		return err
	}
	defer d.Close()
	w := watcher{path: c.Settings, daemon: d, log: log}
	w.fileChanged(true)
	w.waitForStop(stopSignals, reloadSignals)
	drain(d, s, log, stopSignals)
	log.Info().Msg("host ended")
	return nil
}

// drain shuts down gracefully until the drain timeout or another signal.
func drain(d *daemon.Daemon, s *settings.Host, log zerolog.Logger, stopSignals <-chan os.Signal) {
	log.Info().Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), s.Requests.DrainTimeout.Duration-shutdownMargin)
	defer cancel()
	go func() {
		select {
		case <-stopSignals:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.Drain(ctx)
}

// watcher reloads the settings file after a change or a signal.
type watcher struct {
	path   string
	daemon *daemon.Daemon
	log    zerolog.Logger
	// modTime and size are those of the file at the last check.
	modTime time.Time
	size    int64
}

// waitForStop watches the file until a stop signal, or until the host has no request left after a drain by an operator.
func (w *watcher) waitForStop(stopSignals, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.daemon.Drained():
			return
		case <-stopSignals:
			return
		case <-reloadSignals:
			w.reload("signal")
		case <-ticker.C:
			if w.fileChanged(false) {
				w.reload("the file was changed")
			}
		}
	}
}

// fileChanged reports whether the file's modification time or size has changed since the last check.
func (w *watcher) fileChanged(quiet bool) bool {
	info, err := os.Stat(w.path)
	if err != nil {
		if !quiet {
			w.log.Warn().Err(err).Msg("cannot check the settings file for changes")
		}
		return false
	}
	changed := !info.ModTime().Equal(w.modTime) || info.Size() != w.size
	w.modTime, w.size = info.ModTime(), info.Size()
	return changed
}

// reload replaces the seeds, the only setting that a running host can change. Invalid settings change nothing.
func (w *watcher) reload(reason string) {
	s, err := settings.Load(w.path)
	if err != nil {
		w.log.Error().Err(err).Str("reason", reason).Msg("settings not reloaded")
		return
	}
	w.daemon.SeedsChanged(s.Seeds)
	w.log.Info().Str("reason", reason).Int("seeds", len(s.Seeds)).Msg("settings reloaded")
}
