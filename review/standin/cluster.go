package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines, as the platform has them; each machine has a loopback address of its own.
const (
	portFront   = 8221
	portReady   = 8224
	portControl = 8229
	portHosts   = 7600
	portMetrics = 9464
	portServer  = 8080
)

// The machines of a small deployment; one of three front machines is less than the share that the site lets stop.
const (
	frontCount = 3
	coreCount  = 3
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// role is a role of the deploy file.
type role struct {
	name, run, template, on string
}

// machine is one machine of the system with its process.
type machine struct {
	ip      string
	role    role
	path    string
	dataDir string
	log     *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// cluster holds the machines of the system.
type cluster struct {
	rec *record
	dir string
	// prefix has the first three bytes of the loopback addresses of all machines and servers.
	prefix string
	fronts []*machine
	cores  []*machine

	closeOnce sync.Once
}

// startCluster starts core and front machines with the commands and the templates of the deploy file.
func startCluster(rec *record, fronts, cores int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir}
	if c.prefix, err = freePrefix(); err != nil {
		return c, err
	}
	roles, err := readRoles("deploy/system.toml")
	if err != nil {
		return c, err
	}
	for i := range cores {
		c.cores = append(c.cores, &machine{ip: fmt.Sprintf("%s.%d", c.prefix, 10+i), role: roles["core"]})
	}
	for i := range fronts {
		c.fronts = append(c.fronts, &machine{ip: fmt.Sprintf("%s.%d", c.prefix, 50+i), role: roles["front"]})
	}
	var seeds []string
	for _, m := range c.cores[:min(3, len(c.cores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, portControl))
	}
	c.closeOnSignal()
	for _, m := range c.machines() {
		if err := c.prepare(m, seeds); err != nil {
			return c, err
		}
		if err := m.start(); err != nil {
			return c, err
		}
		rec.add("start %s at %s: %s", m.role.name, m.ip, m.command())
	}
	return c, nil
}

// freePrefix returns the first three bytes of loopback addresses on which the ports of the machines are free.
func freePrefix() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+i)%100, 1+(os.Getpid()/100+i)%200)
		free := true
		for _, last := range []int{10, 11, 12, 50, 51, 52, 80, 81, 82, 83, 84, 85, 86, 87} {
			for _, port := range []int{portFront, portReady, portControl, portHosts, portMetrics, portServer} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, last, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

var rolePattern = regexp.MustCompile(`(?m)^\[roles\.([a-z0-9-]+)\]$`)

// readRoles returns the roles of the deploy file by the class of machines that they run on.
func readRoles(path string) (map[string]role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	starts := rolePattern.FindAllSubmatchIndex(text, -1)
	for i, s := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		r := role{name: string(text[s[2]:s[3]])}
		for line := range strings.Lines(string(text[s[1]:end])) {
			key, value, _ := strings.Cut(strings.TrimSpace(line), " = ")
			value = strings.Trim(value, `"`)
			switch key {
			case "run":
				r.run = value
			case "template":
				r.template = value
			case "on":
				r.on = value
			}
		}
		roles[r.on] = r
	}
	if roles["front"].run == "" || roles["core"].run == "" {
		return nil, errors.New("the deploy file lacks a role for front or core machines")
	}
	return roles, nil
}

// prepare writes the settings of a machine, with the values that the pages give for the site sahten-amman.
func (c *cluster) prepare(m *machine, seeds []string) error {
	isCore := m.role.on == "core"
	f := fields{
		"NodeName": m.role.on + "-" + m.ip, "Role": m.role.name, "MachineClass": m.role.on, "Ip": m.ip, "Zone": "abdali", "Region": "amman",
		"InternalPorts": []int{portHosts, portHosts + 15}, "Seeds": seeds, "Bootstrap": true, "LossCounts": isCore,
		"Discovery": "registry", "Entry": "vip", "HeartbeatMs": int(heartbeatInterval / time.Millisecond), "ConfigMode": "highest",
		"Limits":         fields{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"FaultTolerance": fields{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": fields{
			"ContactMs": 3000, "DrainTimeoutMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000, "RevokeStrict": false,
			"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 54, "QuotaWindowS": 8, "QuotaOverage": 0.1, "QuotaSlack": 140000,
			"RequireFence": true, "LeaseMs": 3000, "ThawSlackMs": 300,
		},
	}
	if isCore {
		m.dataDir = filepath.Join(c.dir, m.ip)
		f["Limits"] = fields{"CpuShare": 0.24, "Cores": 1, "MemoryMb": 280, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128}
		f["DataDir"] = m.dataDir
		f["Listen"] = fields{"Control": fmt.Sprintf("%s:%d", m.ip, portControl)}
	} else {
		f["Listen"] = fields{"Front": fmt.Sprintf("%s:%d", m.ip, portFront), "Ready": fmt.Sprintf("%s:%d", m.ip, portReady)}
	}
	template, err := os.ReadFile(m.role.template)
	if err != nil {
		return err
	}
	m.path = filepath.Join(c.dir, m.ip+".toml")
	if err := os.WriteFile(m.path, []byte(render(string(template), f)), 0o600); err != nil {
		return err
	}
	m.log, err = os.Create(filepath.Join(c.dir, m.ip+".log"))
	return err
}

// command returns the command of the deploy file with the path of this machine's settings.
func (m *machine) command() string {
	return strings.ReplaceAll(m.role.run, "/etc/oleanderlever/boot.toml", m.path)
}

func (m *machine) start() error {
	words := strings.Fields(m.command())
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERLEVER_NODE_FILE=" + m.path}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// machines returns all machines.
func (c *cluster) machines() []*machine { return append(append([]*machine{}, c.cores...), c.fronts...) }

// close kills all processes and removes their files, or moves them to the folder that the variable KEEP_LOGS names.
func (c *cluster) close() {
	c.closeOnce.Do(func() {
		for _, m := range c.machines() {
			m.signal(syscall.SIGKILL)
			if m.exited != nil {
				<-m.exited
			}
			if m.log != nil {
				_ = m.log.Close()
			}
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" && os.Rename(c.dir, keep) == nil {
			return
		}
		_ = os.RemoveAll(c.dir)
	})
}

// closeOnSignal ends all processes if this one is to end before the case does.
func (c *cluster) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			c.rec.add("ended by %v", s)
		case <-time.After(caseTimeout):
			c.rec.add("ended after %v", caseTimeout)
		}
		c.close()
		os.Exit(exitNotRun)
	}()
}

func (c *cluster) controls() []string {
	var out []string
	for _, m := range c.cores {
		out = append(out, fmt.Sprintf("%s:%d", m.ip, portControl))
	}
	return out
}
