package console

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"oleanderlever/core"
	"oleanderlever/io/engine"
	"oleanderlever/io/service"
)

type standinFlags struct {
	ID         string     `long:"id" required:"true" description:"name of the upstream"`
	Pool       string     `long:"pool" required:"true" description:"model or service that it belongs to"`
	DataCentre string     `long:"data-centre" default:"dc-1"`
	Listen     addrPort   `long:"listen" default:"127.0.0.1:0"`
	Hosts      []addrPort `long:"host" required:"true" description:"where a host takes announcements; may be repeated"`
	Secret     string     `long:"secret" env:"OLEANDERLEVER_UPSTREAM_SECRET"`
	Slots      int        `long:"slots" default:"20" description:"streams or calls at once"`
}

type engineCommand struct {
	standinFlags
	Role            string        `long:"role" default:"both" choice:"prefill" choice:"decode" choice:"both"`
	Pieces          int           `long:"pieces" default:"64" description:"memory in pieces of 4,096 tokens"`
	PrefillPerToken time.Duration `long:"prefill-per-token" default:"20us"`
	TokenTime       time.Duration `long:"token-time" default:"20ms"`
	Answer          int64         `long:"answer" default:"64" description:"tokens of an answer"`
}

// Execute runs a stand-in engine until it is told to end.
func (c *engineCommand) Execute([]string) error {
	e, err := engine.Start(engine.Config{
		ID: core.UpstreamID(c.ID), Pool: core.PoolID(c.Pool), Role: core.Role(c.Role), DataCentre: core.DataCentre(c.DataCentre),
		Listen: c.Listen.AddrPort, Hosts: addrs(c.Hosts), Secret: c.Secret, Slots: c.Slots, Pieces: c.Pieces,
		PrefillPerToken: c.PrefillPerToken, TokenTime: c.TokenTime, Answer: core.Tokens(c.Answer),
	})
	if err != nil {
		return err
	}
	awaitSignal()
	e.Stop()
	return nil
}

type serviceCommand struct {
	standinFlags
	Time time.Duration `long:"time" default:"5ms" description:"how long a call takes"`
}

// Execute runs a stand-in service until it is told to end.
func (c *serviceCommand) Execute([]string) error {
	s, err := service.Start(service.Config{
		ID: core.UpstreamID(c.ID), Pool: core.PoolID(c.Pool), DataCentre: core.DataCentre(c.DataCentre),
		Listen: c.Listen.AddrPort, Hosts: addrs(c.Hosts), Secret: c.Secret, Slots: c.Slots, Time: c.Time,
	})
	if err != nil {
		return err
	}
	awaitSignal()
	s.Stop()
	return nil
}

func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
