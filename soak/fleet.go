package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
	"oleanderlever/io/daemon"
	"oleanderlever/io/engine"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
)

// The pools of a model and of a plain service, and the secrets, that every soak run uses.
const (
	modelPool      = core.PoolID("verse-writer")
	servicePool    = core.PoolID("print-desk")
	hostSecret     = "a secret of the hosts"
	upstreamSecret = "a secret of the upstreams"
)

// Timing of the stand-ins. Streams last long enough to be hit by a fault.
const (
	tokenInterval = 10 * time.Millisecond
	outputTokens  = 60
	callDuration  = 20 * time.Millisecond
)

// Host is one host process, with a proxy in front of each of the addresses that callers and other hosts connect to.
type Host struct {
	Name         string
	settingsPath string
	dataDir      string
	logFile      *os.File
	// callersProxy and hostsProxy forward to the listeners of the process.
	callersProxy, hostsProxy *Proxy
	callersAddr              netip.AddrPort
	upstreamsAddr            netip.AddrPort
	operatorsAddr            netip.AddrPort

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

// Fleet holds the host processes, proxies and stand-ins of one soak run.
type Fleet struct {
	binary  string
	dir     string
	Hosts   []*Host
	engines []*engine.Engine
	service *service.Service
	proxies []*Proxy
}

// startFleet starts the given number of hosts, each an entry host and a replica, and the stand-ins. After an error the
// returned fleet still has to be closed.
func startFleet(binary, dir string, hosts int, placement string) (*Fleet, error) {
	f := &Fleet{binary: binary, dir: dir}
	var names, seeds []string
	for n := range hosts {
		h, err := f.newHost(n)
		if err != nil {
			return f, err
		}
		f.Hosts = append(f.Hosts, h)
		names = append(names, fmt.Sprintf("%q", h.Name))
		seeds = append(seeds, fmt.Sprintf("%q", h.hostsProxy.Addr()))
	}
	for n, h := range f.Hosts {
		text := fmt.Sprintf(settingsTemplate, h.Name, n%3+1, strings.Join(names, ", "), strings.Join(seeds, ", "),
			h.dataDir, placement, h.callersProxy.target, h.upstreamsAddr, h.hostsProxy.target, h.hostsProxy.Addr(),
			h.operatorsAddr, hostSecret, upstreamSecret)
		if err := os.WriteFile(h.settingsPath, []byte(text), 0o600); err != nil {
			return f, errors.Wrap(err, "settings")
		}
		if err := f.Start(h); err != nil {
			return f, err
		}
	}
	return f, f.startStandIns()
}

const settingsTemplate = `host = %q
dataCentre = "dc-%d"
roles = ["entry", "keeper"]
keepers = [%s]
seeds = [%s]
dataFolder = %q
placement = %q
[listen]
callers = %q
upstreams = %q
hosts = %q
advertised = %q
operators = %q
[credentials]
hostSecret = %q
upstreamSecret = %q
`

func (f *Fleet) newHost(n int) (*Host, error) {
	h := &Host{Name: fmt.Sprintf("h%d", n+1)}
	h.settingsPath = filepath.Join(f.dir, h.Name+".toml")
	h.dataDir = filepath.Join(f.dir, h.Name)
	var err error
	if h.logFile, err = os.Create(filepath.Join(f.dir, h.Name+".log")); err != nil {
		return nil, errors.Wrap(err, "log")
	}
	var addrs [6]netip.AddrPort
	for i := range addrs {
		if addrs[i], err = daemon.FreeAddr(); err != nil {
			return nil, err
		}
	}
	h.callersAddr, h.upstreamsAddr, h.operatorsAddr = addrs[0], addrs[2], addrs[3]
	if h.callersProxy, err = f.addProxy(addrs[0], addrs[1]); err != nil {
		return nil, err
	}
	h.hostsProxy, err = f.addProxy(addrs[4], addrs[5])
	return h, err
}

func (f *Fleet) addProxy(listen, target netip.AddrPort) (*Proxy, error) {
	p, err := NewProxy(listen, target)
	if err == nil {
		f.proxies = append(f.proxies, p)
	}
	return p, err
}

func (f *Fleet) startStandIns() error {
	var hosts []netip.AddrPort
	for _, h := range f.Hosts {
		hosts = append(hosts, h.upstreamsAddr)
	}
	for n, role := range []core.Role{core.RolePrefill, core.RolePrefill, core.RoleDecode, core.RoleDecode, core.RoleDecode} {
		advertised, listen, err := f.addUpstreamProxy()
		if err != nil {
			return err
		}
		e, err := engine.Start(engine.Config{
			ID: core.UpstreamID(fmt.Sprintf("e%d", n+1)), Pool: modelPool, Role: role, Listen: listen, Advertised: advertised,
			Hosts: hosts, Secret: upstreamSecret, Slots: 16, Pages: 64, TokenInterval: tokenInterval, OutputTokens: outputTokens,
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	advertised, listen, err := f.addUpstreamProxy()
	if err != nil {
		return err
	}
	f.service, err = service.Start(service.Config{
		ID: "desk-1", Pool: servicePool, Listen: listen, Advertised: advertised, Hosts: hosts, Secret: upstreamSecret,
		Slots: 32, CallDuration: callDuration,
	})
	return err
}

// addUpstreamProxy starts the proxy of a stand-in. It returns the address that the stand-in advertises, where the proxy
// listens, and the address where the stand-in must listen.
func (f *Fleet) addUpstreamProxy() (advertised, listen netip.AddrPort, err error) {
	if advertised, err = daemon.FreeAddr(); err != nil {
		return advertised, listen, err
	}
	if listen, err = daemon.FreeAddr(); err != nil {
		return advertised, listen, err
	}
	_, err = f.addProxy(advertised, listen)
	return advertised, listen, err
}

// Start starts the process of a host unless it is running.
func (f *Fleet) Start(h *Host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	cmd := exec.Command(f.binary, "host", "--settings", h.settingsPath)
	cmd.Stdout, cmd.Stderr = h.logFile, h.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, h.Name)
	}
	exited := make(chan struct{})
	h.process, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process of a host if it is running.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
	}
}

// AwaitExit waits until the process of a host has exited, and kills it after the timeout.
func (h *Host) AwaitExit(timeout time.Duration) {
	h.mu.Lock()
	exited, running := h.exited, h.process != nil
	h.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Operator returns a client for the operator RPCs of a host.
func (h *Host) Operator() *operator.Client { return operator.NewClient(h.operatorsAddr, "") }

// Close kills the host processes and stops the stand-ins and proxies of the fleet.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range f.Hosts {
		h.AwaitExit(time.Second)
		_ = h.logFile.Close()
	}
	for _, e := range f.engines {
		e.Kill()
	}
	if f.service != nil {
		f.service.Stop()
	}
	for _, p := range f.proxies {
		p.Close()
	}
}
