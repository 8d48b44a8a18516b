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
	// watchEvery is how often the settings file is looked at, since it may change without a signal.
	watchEvery = 2 * time.Second
	// memoryPart is the part of the allowed memory up to which the garbage collector lets the heap grow.
	memoryPart = 0.7
	megabyte   = 1 << 20
	// closingTime is kept of the drain timeout for closing down before the platform kills the process.
	closingTime = 600 * time.Millisecond
)

// Execute runs a host until it is told to end; the first signal drains it, a second one ends it at once.
func (c *hostCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Mark(err, errSettings)
	}
	if c.Check {
		return nil
	}
	out := telemetry.NewWriter(os.Stdout)
	defer out.Close()
	log, err := telemetry.NewLog(out, s.LogLevel, s.Host)
	if err != nil {
		return errors.Mark(err, errSettings)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB*megabyte)))
	}
	ends := make(chan os.Signal, 2)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := daemon.Start(s, log)
	if err != nil {
		log.Error().Err(err).Msg("host did not start")
		return err
	}
	defer d.Close()
	w := watcher{path: c.Settings, daemon: d, log: log}
	w.look(true)
	if w.wait(ends, reloads) {
		drain(d, s, log, ends)
	}
	log.Info().Msg("host ended")
	return nil
}

// drain shuts down gracefully; a second signal ends it at once.
func drain(d *daemon.Daemon, s *settings.Host, log zerolog.Logger, ends <-chan os.Signal) {
	log.Info().Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), s.Requests.DrainTimeout.Duration-closingTime)
	defer cancel()
	go func() {
		select {
		case <-ends:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.Drain(ctx)
}

// watcher reads the settings file again when it may have changed.
type watcher struct {
	path   string
	daemon *daemon.Daemon
	log    zerolog.Logger
	// seen is when the file was changed last, size how long it was.
	seen time.Time
	size int64
}

// wait looks after the file until the host is to end; it returns false where the host has drained on its own.
func (w *watcher) wait(ends, reloads <-chan os.Signal) bool {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.daemon.Drained():
			return false
		case <-ends:
			return true
		case <-reloads:
			w.reload("signal")
		case <-ticker.C:
			if w.look(false) {
				w.reload("the file has changed")
			}
		}
	}
}

// look reports whether the file is another one than at the last look.
func (w *watcher) look(quiet bool) bool {
	info, err := os.Stat(w.path)
	if err != nil {
		if !quiet {
			w.log.Warn().Err(err).Msg("settings file can't be looked at")
		}
		return false
	}
	changed := !info.ModTime().Equal(w.seen) || info.Size() != w.size
	w.seen, w.size = info.ModTime(), info.Size()
	return changed
}

// reload takes over what may change in a running host, the seeds. Faulty settings change nothing.
func (w *watcher) reload(reason string) {
	s, err := settings.Load(w.path)
	if err != nil {
		w.log.Error().Err(err).Str("reason", reason).Msg("settings not reloaded")
		return
	}
	w.daemon.SeedsChanged(s.Seeds)
	w.log.Info().Str("reason", reason).Int("seeds", len(s.Seeds)).Msg("settings reloaded")
}
