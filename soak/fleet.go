package soak

import (
	"fmt"
	"math/rand/v2"
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
	"oleanderlever/io/engine"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
)

// The pools, the model's among them, that every soak has.
const (
	modelPool   = core.PoolID("verse-writer")
	servicePool = core.PoolID("print-desk")
	hostSecret  = "a secret of the hosts"
	upSecret    = "a secret of the upstreams"
)

// Timing of the stand-ins: streams last long enough to be hit by a fault.
const (
	tokenTime    = 10 * time.Millisecond
	answerTokens = 60
	serviceTime  = 20 * time.Millisecond
)

// Host is one process of the system, with a proxy before each of its addresses that others use.
type Host struct {
	Name     string
	settings string
	folder   string
	log      *os.File
	// callers and hosts stand before the process's own addresses.
	callers, hosts *Proxy
	callersAddr    netip.AddrPort
	upstreams      netip.AddrPort
	operators      netip.AddrPort

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// Fleet is the processes, the proxies and the stand-ins of one soak.
type Fleet struct {
	binary  string
	folder  string
	Hosts   []*Host
	engines []*engine.Engine
	service *service.Service
	links   []*Proxy
	ip      netip.Addr
	used    map[netip.AddrPort]bool
}

// startFleet starts so many hosts, every one of them entry and keeper, and their stand-ins.
func startFleet(binary, folder string, hosts int, placement string) (*Fleet, error) {
	f := &Fleet{binary: binary, folder: folder, ip: loopbackIP(), used: map[netip.AddrPort]bool{}}
	var names, seeds []string
	for n := range hosts {
		h, err := f.newHost(n)
		if err != nil {
			return f, err
		}
		f.Hosts = append(f.Hosts, h)
		names = append(names, fmt.Sprintf("%q", h.Name))
		seeds = append(seeds, fmt.Sprintf("%q", h.hosts.Addr()))
	}
	for n, h := range f.Hosts {
		text := fmt.Sprintf(settingsText, h.Name, n%3+1, strings.Join(names, ", "), strings.Join(seeds, ", "), h.folder, placement,
			h.callers.target, h.upstreams, h.hosts.target, h.hosts.Addr(), h.operators, hostSecret, upSecret)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return f, errors.Wrap(err, "settings")
		}
		if err := f.Start(h); err != nil {
			return f, err
		}
	}
	return f, f.startStandIns()
}

const settingsText = `host = %q
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
	h.settings = filepath.Join(f.folder, h.Name+".toml")
	h.folder = filepath.Join(f.folder, h.Name)
	var err error
	if h.log, err = os.Create(filepath.Join(f.folder, h.Name+".log")); err != nil {
		return nil, errors.Wrap(err, "log")
	}
	var addrs [6]netip.AddrPort
	for i := range addrs {
		addrs[i] = f.freeAddr()
	}
	h.callersAddr, h.upstreams, h.operators = addrs[0], addrs[2], addrs[3]
	if h.callers, err = f.link(addrs[0], addrs[1]); err != nil {
		return nil, err
	}
	h.hosts, err = f.link(addrs[4], addrs[5])
	return h, err
}

// Each fleet has a loopback address of its own, so that several may run at once. Ports are below those that the kernel gives to
// outgoing connections, so that a host finds its own free after a restart.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// loopbackIP draws one of the loopback addresses beside 127.0.0.1.
func loopbackIP() netip.Addr {
	const most = 254
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(most)), byte(1 + rand.IntN(most)), byte(1 + rand.IntN(most))})
}

// freeAddr draws an address that nothing else of the fleet uses. It is not tried: a listener that is closed again lives on for a
// moment in a process that is being started.
func (f *Fleet) freeAddr() netip.AddrPort {
	for {
		addr := netip.AddrPortFrom(f.ip, uint16(firstPort+rand.IntN(lastPort-firstPort)))
		if !f.used[addr] {
			f.used[addr] = true
			return addr
		}
	}
}

func (f *Fleet) link(listen, target netip.AddrPort) (*Proxy, error) {
	p, err := NewProxy(listen, target)
	if err == nil {
		f.links = append(f.links, p)
	}
	return p, err
}

func (f *Fleet) startStandIns() error {
	var hosts []netip.AddrPort
	for _, h := range f.Hosts {
		hosts = append(hosts, h.upstreams)
	}
	for n, role := range []core.Role{core.RolePrefill, core.RolePrefill, core.RoleDecode, core.RoleDecode, core.RoleDecode} {
		outside, inside, err := f.upstreamLink()
		if err != nil {
			return err
		}
		e, err := engine.Start(engine.Config{
			ID: core.UpstreamID(fmt.Sprintf("e%d", n+1)), Pool: modelPool, Role: role, Listen: inside, Advertised: outside,
			Hosts: hosts, Secret: upSecret, Slots: 16, Pieces: 64, TokenTime: tokenTime, Answer: answerTokens,
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	outside, inside, err := f.upstreamLink()
	if err != nil {
		return err
	}
	f.service, err = service.Start(service.Config{
		ID: "desk-1", Pool: servicePool, Listen: inside, Advertised: outside, Hosts: hosts, Secret: upSecret, Slots: 32, Time: serviceTime,
	})
	return err
}

// upstreamLink puts a proxy before a stand-in that is about to start.
func (f *Fleet) upstreamLink() (outside, inside netip.AddrPort, err error) {
	outside, inside = f.freeAddr(), f.freeAddr()
	_, err = f.link(outside, inside)
	return outside, inside, err
}

// Start starts a host's process, unless it runs.
func (f *Fleet) Start(h *Host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	c := exec.Command(f.binary, "host", "--settings", h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, h.Name)
	}
	ended := make(chan struct{})
	h.process, h.ended = c, ended
	go func() {
		_ = c.Wait()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to a host's process by its ID, if it runs.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// Await waits until a host's process has ended, and kills it after a while.
func (h *Host) Await(most time.Duration) {
	h.mu.Lock()
	ended, runs := h.ended, h.process != nil
	h.mu.Unlock()
	if !runs {
		return
	}
	select {
	case <-ended:
	case <-time.After(most):
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Operator returns a client of a host's operator RPCs.
func (h *Host) Operator() *operator.Client { return operator.NewClient(h.operators, "") }

// Close ends everything that the soak started, and nothing else.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range f.Hosts {
		h.Await(time.Second)
		_ = h.log.Close()
	}
	for _, e := range f.engines {
		e.Kill()
	}
	if f.service != nil {
		f.service.Stop()
	}
	for _, l := range f.links {
		l.Close()
	}
}
