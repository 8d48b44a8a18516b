package daemon

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/io/settings"
	"oleanderlever/io/telemetry"
)

// Loopback is several hosts in one process, for demos, measurements and tests.
type Loopback struct {
	Settings []*settings.Host
	Daemons  []*Daemon
}

// StartLoopback runs hosts that are entry and keeper, each in its own data centre and folder.
func StartLoopback(n int, folder string, log io.Writer, adjust ...func(*settings.Host)) (*Loopback, error) {
	f := &Loopback{}
	var seeds []netip.AddrPort
	var keepers []string
	for i := range n {
		s, err := loopbackSettings(i, folder)
		if err != nil {
			return nil, err
		}
		f.Settings = append(f.Settings, s)
		seeds = append(seeds, s.Listen.Hosts)
		keepers = append(keepers, s.Host)
	}
	for _, s := range f.Settings {
		s.Seeds, s.Keepers = seeds, keepers
		for _, change := range adjust {
			change(s)
		}
		l, err := telemetry.NewLog(log, s.LogLevel, s.Host)
		if err != nil {
			return f, err
		}
		d, err := Start(s, l)
		if err != nil {
			return f, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	return f, nil
}

func loopbackSettings(i int, folder string) (*settings.Host, error) {
	name := fmt.Sprintf("host-%d", i+1)
	s := &settings.Host{
		Host: name, DataCentre: fmt.Sprintf("dc-%d", i+1), Roles: []settings.Role{settings.RoleEntry, settings.RoleKeeper},
		DataFolder: filepath.Join(folder, name), LogLevel: "info",
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

// FreeAddr returns a loopback address that was free a moment ago.
func FreeAddr() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// UpstreamAddrs returns where the hosts take announcements.
func (f *Loopback) UpstreamAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range f.Settings {
		out = append(out, s.Listen.Upstreams)
	}
	return out
}

// Restart runs a host again that was closed, without a log.
func Restart(s *settings.Host) (*Daemon, error) { return Start(s, zerolog.Nop()) }

// Close ends every host at once.
func (f *Loopback) Close() {
	for _, d := range f.Daemons {
		d.Close()
	}
}
