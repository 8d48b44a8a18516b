package console

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"oleanderlever/io/daemon"
	"oleanderlever/io/settings"
)

// fleet is several hosts in one process, on loopback.
type fleet struct {
	settings []*settings.Host
	daemons  []*daemon.Daemon
}

// startFleet runs hosts that are entry and keeper, each in its own data centre and folder.
func startFleet(n int, folder string, log io.Writer) (*fleet, error) {
	f := &fleet{}
	var seeds []netip.AddrPort
	var keepers []string
	for i := range n {
		s, err := fleetSettings(i, folder)
		if err != nil {
			return nil, err
		}
		f.settings = append(f.settings, s)
		seeds = append(seeds, s.Listen.Hosts)
		keepers = append(keepers, s.Host)
	}
	for _, s := range f.settings {
		s.Seeds, s.Keepers = seeds, keepers
		l, err := newLog(log, s.LogLevel, s.Host)
		if err != nil {
			return f, err
		}
		d, err := daemon.Start(s, l)
		if err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

func fleetSettings(i int, folder string) (*settings.Host, error) {
	name := fmt.Sprintf("host-%d", i+1)
	s := &settings.Host{
		Host: name, DataCentre: fmt.Sprintf("dc-%d", i+1), Roles: []settings.Role{settings.RoleEntry, settings.RoleKeeper},
		DataFolder: filepath.Join(folder, name), LogLevel: "info",
	}
	s.FillDefaults()
	for _, p := range []*netip.AddrPort{&s.Listen.Callers, &s.Listen.Upstreams, &s.Listen.Hosts, &s.Listen.Operators} {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		*p = addr
	}
	return s, nil
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *fleet) upstreamAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range f.settings {
		out = append(out, s.Listen.Upstreams)
	}
	return out
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.Close()
	}
}
