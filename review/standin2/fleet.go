package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a deployment, which are the same on all machines.
const (
	internalPort = 7600
	controlPort  = 8229
	frontPort    = 8221
	readyPort    = 8224
	metricsPort  = 9464
	runnerPort   = 8080
)

const (
	// program is the one that the deploy file runs for both roles: "target/oleanderlever host --settings PATH".
	program     = "target/oleanderlever"
	readyWait   = 20 * time.Second
	pollPause   = 100 * time.Millisecond
	zone        = "abdali"
	region      = "amman"
	graceS      = 8
	frontMemory = 284
	coreMemory  = 280
)

// machine is a machine of the system with its one process.
type machine struct {
	name     string
	ip       string
	isCore   bool
	settings string
	log      string
	process  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// fleet is the machines of the system.
type fleet struct {
	dir    string
	ips    *ipPool
	cores  []*machine
	fronts []*machine

	mu sync.Mutex
}

// ipPool hands out loopback addresses that no other process uses.
type ipPool struct {
	prefix string
	last   int
}

func newIPPool() (*ipPool, error) {
	const tries, octets = 50, 250
	for range tries {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(octets), 1+rand.IntN(octets))
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, metricsPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return &ipPool{prefix: prefix}, nil
	}
	return nil, errors.New("no free loopback addresses")
}

func (p *ipPool) next() string {
	p.last++
	return fmt.Sprintf("%s%d", p.prefix, p.last)
}

// startFleet starts core machines and fronts for the first time, as the platform does.
func startFleet(cores, fronts int) (*fleet, error) {
	f, err := newFleet(cores, fronts)
	if err != nil {
		return f, err
	}
	for _, m := range f.all() {
		if err := f.start(m, true); err != nil {
			return f, err
		}
	}
	return f, nil
}

// newFleet returns machines that are not started. Three core machines are the seeds.
func newFleet(cores, fronts int) (*fleet, error) {
	ips, err := newIPPool()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, ips: ips}
	for i := range cores {
		f.cores = append(f.cores, &machine{name: fmt.Sprintf("core-%d", i+1), ip: ips.next(), isCore: true})
	}
	for i := range fronts {
		f.fronts = append(f.fronts, &machine{name: fmt.Sprintf("front-%d", i+1), ip: ips.next()})
	}
	return f, nil
}

// addCore adds a core machine at a new address.
func (f *fleet) addCore(name string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{name: name, ip: f.ips.next(), isCore: true}
	f.cores = append(f.cores, m)
	return m
}

func (f *fleet) all() []*machine { return append(append([]*machine{}, f.cores...), f.fronts...) }

func (f *fleet) seeds() []string {
	const maxSeeds = 3
	var seeds []string
	for _, m := range f.cores[:min(maxSeeds, len(f.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return seeds
}

// control returns the control addresses.
func (f *fleet) control() []string {
	var addrs []string
	for _, m := range f.cores {
		addrs = append(addrs, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return addrs
}

// start writes a machine's settings and starts its process.
func (f *fleet) start(m *machine, bootstrap bool) error {
	dataDir := ""
	memory := frontMemory
	listen := map[string]any{"Front": fmt.Sprintf("%s:%d", m.ip, frontPort), "Ready": fmt.Sprintf("%s:%d", m.ip, readyPort)}
	if m.isCore {
		dataDir, memory = filepath.Join(f.dir, m.name, "data"), coreMemory
		listen = map[string]any{"Control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
	}
	text, err := renderTemplate(map[string]any{
		"Ip": m.ip, "Zone": zone, "DataDir": dataDir, "Bootstrap": bootstrap, "Seeds": f.seeds(),
		"InternalPorts": []int{internalPort, internalPort + 15}, "HeartbeatMs": 1200, "Listen": listen,
		"FaultTolerance": map[string]any{"Machines": 1}, "Limits": map[string]any{"MemoryMb": memory},
		"Zones": []entry{{zone, region}},
		"Bounds": map[string]any{
			"RevokeStrict": false, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "BudgetSlack": 54, "QuotaSlack": 140000,
			"GraceS": graceS, "RequireFence": true,
		},
	})
	if err != nil {
		return err
	}
	home := filepath.Join(f.dir, m.name)
	if err := os.MkdirAll(home, 0o750); err != nil {
		return err
	}
	m.settings, m.log = filepath.Join(home, "boot.toml"), filepath.Join(home, "log")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "host", "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.process, m.exited = cmd, exited
	return nil
}

func (m *machine) signal(s syscall.Signal) error { return m.process.Process.Signal(s) }

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.all() {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGCONT)
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// putConfig sends a desired state to the control addresses in turn until it is acknowledged.
func (f *fleet) putConfig(document string, within time.Duration) error {
	client := &http.Client{Timeout: 4 * time.Second}
	last := errors.New("not sent")
	for deadline, i := time.Now().Add(within), 0; time.Now().Before(deadline); i++ {
		url := fmt.Sprintf("http://%s:%d/Config.Put", f.cores[i%len(f.cores)].ip, controlPort)
		response, err := client.Post(url, "application/json", bytes.NewBufferString(document))
		if err != nil {
			last = err
			time.Sleep(pollPause)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
		time.Sleep(pollPause)
	}
	return fmt.Errorf("the desired state was not acknowledged: %w", last)
}

// waitReady waits until all fronts report that they are ready.
func (f *fleet) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, m := range f.fronts {
		for deadline := time.Now().Add(readyWait); ; time.Sleep(pollPause) {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
		}
	}
	return nil
}
