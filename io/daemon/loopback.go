package daemon

import (
	"fmt"
	"io"
	"net/netip"
	"path/filepath"

	"github.com/rs/zerolog"

	"oleanderlever/io/settings"
	"oleanderlever/io/telemetry"
)

// Loopback is a group of hosts in one process, for demos, benchmarks and tests.
type Loopback struct {
	Settings []*settings.Host
	Daemons  []*Daemon
}

// StartLoopback starts n hosts with both roles, each with its own data centre and data directory. The changes are applied
// to the settings of each host.
func StartLoopback(n int, dataDir string, log io.Writer, changes ...func(*settings.Host)) (*Loopback, error) {
	loopback := &Loopback{}
	var seeds []netip.AddrPort
	var replicas []string
	for i := range n {
		s, err := loopbackSettings(i, dataDir)
		if err != nil {
			return nil, err
		}
		loopback.Settings = append(loopback.Settings, s)
		seeds = append(seeds, s.Listen.Hosts)
		replicas = append(replicas, s.Host)
	}
	for _, s := range loopback.Settings {
		s.Seeds, s.Replicas = seeds, replicas
		for _, change := range changes {
			change(s)
		}
		l, err := telemetry.NewLog(log, s.LogLevel, s.Host)
		if err != nil {
			return loopback, err
		}
		d, err := Start(s, l)
		if err != nil {
			return loopback, err
		}
		loopback.Daemons = append(loopback.Daemons, d)
	}
	return loopback, nil
}

func loopbackSettings(i int, dataDir string) (*settings.Host, error) {
	name := fmt.Sprintf("host-%d", i+1)
	s := &settings.Host{
		Host: name, DataCentre: fmt.Sprintf("dc-%d", i+1), Roles: []settings.Role{settings.RoleEntry, settings.RoleKeeper},
		DataDir: filepath.Join(dataDir, name), LogLevel: "info",
	}
	s.FillDefaults()
	for _, p := range []*netip.AddrPort{&s.Listen.Callers, &s.Listen.Upstreams, &s.Listen.Hosts, &s.Listen.Operators} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		*p = addr
	}
	return s, nil
}

// UpstreamAddrs returns the addresses at which the hosts receive announcements.
func (l *Loopback) UpstreamAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range l.Settings {
		out = append(out, s.Listen.Upstreams)
	}
	return out
}

// Restart starts a closed host again, without a log.
func Restart(s *settings.Host) (*Daemon, error) { return Start(s, zerolog.Nop()) }

// Close stops all hosts immediately.
func (l *Loopback) Close() {
	for _, d := range l.Daemons {
		d.Close()
	}
}
