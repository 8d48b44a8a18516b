package console

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"oleanderlever/io/daemon"
	"oleanderlever/io/settings"
	"oleanderlever/io/telemetry"
)

type hostCommand struct {
	Settings string `long:"settings" required:"true" description:"TOML settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Execute runs a host until it is told to end; the first signal drains it, a second one ends it at once.
func (c *hostCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}
	log, err := telemetry.NewLog(os.Stdout, s.LogLevel, s.Host)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	d, err := daemon.Start(s, log)
	if err != nil {
		return err
	}
	defer d.Close()
	select {
	case <-d.Drained():
		return nil
	case <-signals:
	}
	log.Info().Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), s.Requests.DrainTimeout.Duration)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	d.Drain(ctx)
	log.Info().Msg("host ended")
	return nil
}
