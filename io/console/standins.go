package console

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"oleanderlever/core"
	"oleanderlever/io/engine"
	"oleanderlever/io/service"
	"oleanderlever/io/upstream"
)

type standInFlags struct {
	ID         string     `long:"id" required:"true" description:"ID of the upstream"`
	Pool       string     `long:"pool" required:"true" description:"pool of the upstream: its model or service"`
	DataCentre string     `long:"data-centre" default:"dc-1"`
	Listen     addrPort   `long:"listen" default:"127.0.0.1:0"`
	Hosts      []addrPort `long:"host" required:"true" description:"upstream address of a host for announcements; may be repeated"`
	Secret     string     `long:"secret" env:"OLEANDERLEVER_UPSTREAM_SECRET"`
	Slots      int        `long:"slots" default:"20" description:"maximum concurrent streams or requests"`
	RateLimit  float64    `long:"rate-limit" description:"requests a second that the upstream says it takes from all hosts together"`
}

type engineCommand struct {
	standInFlags
	Role            string        `long:"role" default:"both" choice:"prefill" choice:"decode" choice:"both"`
	Pages           int           `long:"pieces" default:"64" description:"memory in pages of 4,096 tokens"`
	PrefillPerToken time.Duration `long:"prefill-per-token" default:"20us"`
	TokenInterval   time.Duration `long:"token-time" default:"20ms"`
	OutputTokens    int64         `long:"answer" default:"64" description:"output tokens of a response"`
}

// Execute runs a stand-in engine until SIGINT or SIGTERM.
func (c *engineCommand) Execute([]string) error {
	e, err := engine.Start(engine.Config{
		ID: core.UpstreamID(c.ID), Pool: core.PoolID(c.Pool), Role: core.Role(c.Role), DataCentre: core.DataCentre(c.DataCentre),
		Listen: c.Listen.AddrPort, Hosts: toAddrPorts(c.Hosts), Secret: c.Secret, Slots: c.Slots, Pages: c.Pages,
		PrefillPerToken: c.PrefillPerToken, TokenInterval: c.TokenInterval, OutputTokens: core.Tokens(c.OutputTokens),
	})
	if err != nil {
		return err
	}
	e.SetFaults(engine.Faults{Said: upstream.Said{RateLimit: c.RateLimit}})
	waitForSignal()
	e.Stop()
	return nil
}

type serviceCommand struct {
	standInFlags
	CallDuration time.Duration `long:"time" default:"5ms" description:"duration of a request"`
}

// Execute runs a stand-in service until SIGINT or SIGTERM.
func (c *serviceCommand) Execute([]string) error {
	s, err := service.Start(service.Config{
		ID: core.UpstreamID(c.ID), Pool: core.PoolID(c.Pool), DataCentre: core.DataCentre(c.DataCentre),
		Listen: c.Listen.AddrPort, Hosts: toAddrPorts(c.Hosts), Secret: c.Secret, Slots: c.Slots, CallDuration: c.CallDuration,
	})
	if err != nil {
		return err
	}
	s.SetFaults(service.Faults{Said: upstream.Said{RateLimit: c.RateLimit}})
	waitForSignal()
	s.Stop()
	return nil
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
