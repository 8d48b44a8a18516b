package main_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/daemon"
	"oleanderlever/io/engine"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
)

const (
	testTimeout  = 60 * time.Second
	model        = "verse-writer"
	outputTokens = 60
)

// host is a host process of the system.
type host struct {
	name, settings, dataDir, log            string
	callers, upstreams, hosts, operatorAddr netip.AddrPort
	process                                 *exec.Cmd
}

// system consists of three host processes and of stand-ins in the test process.
type system struct {
	t            *testing.T
	binary       string
	hosts        []*host
	key          string
	orderService *service.Service
}

func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "oleanderlever")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return binary
}

func freeAddr(t *testing.T) netip.AddrPort {
	addr, err := daemon.FreeAddr()
	require.NoError(t, err)
	return addr
}

func startSystem(t *testing.T) *system {
	s := &system{t: t, binary: buildBinary(t)}
	var seeds []string
	for n := range 3 {
		h := &host{name: fmt.Sprintf("h%d", n+1), callers: freeAddr(t), upstreams: freeAddr(t), hosts: freeAddr(t), operatorAddr: freeAddr(t)}
		h.dataDir = filepath.Join(t.TempDir(), "data")
		s.hosts = append(s.hosts, h)
		seeds = append(seeds, fmt.Sprintf("%q", h.hosts))
	}
	for n, h := range s.hosts {
		text := fmt.Sprintf(`host = %q
dataCentre = "dc-%d"
roles = ["entry", "keeper"]
keepers = ["h1", "h2", "h3"]
seeds = [%s]
dataFolder = %q
[listen]
callers = %q
upstreams = %q
hosts = %q
operators = %q
[credentials]
hostSecret = "a secret of the hosts"
upstreamSecret = "a secret of the upstreams"
`, h.name, n+1, strings.Join(seeds, ", "), h.dataDir, h.callers, h.upstreams, h.hosts, h.operatorAddr)
		h.settings, h.log = filepath.Join(t.TempDir(), "settings.toml"), filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
		s.start(h)
	}
	t.Cleanup(func() {
		for _, h := range s.hosts {
			s.kill(h)
			if t.Failed() {
				s.printLog(h)
			}
		}
	})
	return s
}

func (s *system) start(h *host) {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.t, err)
	h.process = exec.Command(s.binary, "host", "--settings", h.settings)
	h.process.Stdout, h.process.Stderr = log, log
	require.NoError(s.t, h.process.Start())
	require.NoError(s.t, log.Close())
}

// printLog prints the last lines of a host's log, of all its starts.
func (s *system) printLog(h *host) {
	const maxBytes = 16 << 10
	log, err := os.ReadFile(h.log)
	require.NoError(s.t, err)
	s.t.Logf("log of %s:\n%s", h.name, log[max(0, len(log)-maxBytes):])
}

// kill ends a process immediately, even if it is paused by SIGSTOP.
func (s *system) kill(h *host) {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
	h.process = nil
}

func (s *system) startUpstreams() {
	var upstreams []netip.AddrPort
	for _, h := range s.hosts {
		upstreams = append(upstreams, h.upstreams)
	}
	for n, role := range []core.Role{core.RolePrefill, core.RoleDecode, core.RoleDecode} {
		e, err := engine.Start(engine.Config{
			ID: core.UpstreamID(fmt.Sprintf("e%d", n)), Pool: model, Role: role, Listen: freeAddr(s.t), Hosts: upstreams,
			Secret: "a secret of the upstreams", Slots: 8, Pages: 32, TokenInterval: 10 * time.Millisecond, OutputTokens: outputTokens,
		})
		require.NoError(s.t, err)
		s.t.Cleanup(e.Kill)
	}
	var err error
	s.orderService, err = service.Start(service.Config{
		ID: "orders", Pool: "print-desk", Listen: freeAddr(s.t), Hosts: upstreams, Secret: "a secret of the upstreams",
		Slots: 8, CallDuration: 3 * time.Second,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(s.orderService.Stop)
}

func (s *system) operator(h *host) *operator.Client { return operator.NewClient(h.operatorAddr, "") }

// change makes a change through a host. It retries on errors, since the replicas may still be electing a leader.
func (s *system) change(h *host, c *operator.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		_, err := s.operator(h).Change(ctx, c)
		if err == nil {
			return
		}
		require.NoError(s.t, ctx.Err(), "%v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *system) status(h *host) (*operator.StatusReply, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := s.operator(h).Status(ctx)
	return r, err == nil
}

func (s *system) caller(h *host) *caller.Client {
	return &caller.Client{Addr: h.callers, APIKey: s.key, Timeout: testTimeout}
}

func (s *system) eventually(description string, condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, condition, testTimeout, 20*time.Millisecond, description)
}

func (s *system) streamCompletes(h *host) bool {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, model)
	st, err := s.caller(h).Stream("/v1/chat/completions", []byte(body), nil)
	return err == nil && st.Complete && st.Tokens == outputTokens
}

func (s *system) configure() {
	key, hash, err := operator.NewKey()
	require.NoError(s.t, err)
	s.key = key
	for _, c := range []*operator.Change{
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: "cards", Weight: 1, Rate: 1e5, Burst: 1e6}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "shop", Account: "cards", Hash: hash[:]}}},
		{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: model, MaxOutput: 64}}},
		{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{Name: "orders", Path: "/orders", Pool: "print-desk", TimeoutMillis: 5000, Cost: 1}}},
	} {
		s.change(s.hosts[2], c)
	}
}

// leader returns the leader according to the status from a queried host, and another host.
func (s *system) leader(queried *host) (leader, other *host) {
	s.eventually("a leader", func() bool {
		r, ok := s.status(queried)
		if !ok {
			return false
		}
		for _, h := range s.hosts {
			if h.name == r.GetLeader() {
				leader = h
			} else if h != queried || other == nil {
				other = h
			}
		}
		return leader != nil
	})
	return leader, other
}

// The hosts are separate processes. The subtests kill them, delete a data directory, pause a process by SIGSTOP and end
// one by SIGTERM.
func TestProcesses(t *testing.T) {
	s := startSystem(t)
	s.startUpstreams()
	s.configure()
	for _, h := range s.hosts {
		s.eventually("a stream through "+h.name, func() bool { return s.streamCompletes(h) })
	}
	t.Run("entryHostKilled", func(t *testing.T) { entryHostKilled(t, s) })
	t.Run("leaderKilled", func(t *testing.T) { leaderKilled(t, s) })
	t.Run("diskLost", func(t *testing.T) { diskLost(t, s) })
	t.Run("diskFull", func(t *testing.T) { diskFull(t, s) })
	t.Run("leaderPaused", func(t *testing.T) { leaderPaused(t, s) })
	t.Run("drain", func(t *testing.T) { drain(t, s) })
}

// The entry host is killed while a service executes a non-idempotent request. The request must not be executed again,
// and sending it with the same idempotency key reports an unknown outcome.
func entryHostKilled(t *testing.T, s *system) {
	idempotencyKey := caller.Header{Name: "Idempotency-Key", Value: "o-1"}
	killed, other := s.hosts[0], s.hosts[1]
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = s.caller(killed).Do(http.MethodPost, "/orders", []byte("card"), idempotencyKey)
	}()
	s.eventually("the order to arrive", func() bool { return strings.Contains(s.orderService.LastBody(), "card") })
	s.kill(killed)
	<-sent
	s.eventually("an unknown outcome for the order", func() bool {
		resp, err := s.caller(other).Do(http.MethodPost, "/orders", []byte("card"), idempotencyKey)
		return err == nil && resp.Kind == "outcomeUnknown" && !resp.NotExecuted
	})
	require.Equal(t, 1, s.orderService.CallCount("card"))
	s.start(killed)
	s.eventually("a stream through the restarted host", func() bool { return s.streamCompletes(killed) })
}

func leaderKilled(t *testing.T, s *system) {
	before, ok := s.status(s.hosts[0])
	require.True(t, ok)
	leader, other := s.leader(s.hosts[0])
	s.kill(leader)
	s.eventually("a stream without the old leader", func() bool { return s.streamCompletes(other) })
	s.change(other, &operator.Change{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: "second", MaxOutput: 8}}})
	s.start(leader)
	s.eventually("the old leader to catch up", func() bool {
		resp, err := s.caller(leader).Do(http.MethodGet, "/v1/models", nil)
		return err == nil && strings.Contains(string(resp.Body), "second")
	})
	after, ok := s.status(leader)
	require.True(t, ok)
	require.Greater(t, after.GetVersion(), before.GetVersion())
	require.Len(t, after.GetKeys(), 1)
}

func diskLost(t *testing.T, s *system) {
	leader, replaced := s.leader(s.hosts[0])
	s.kill(replaced)
	require.NoError(t, os.RemoveAll(replaced.dataDir))
	s.start(replaced)
	s.eventually("the replica with the new data directory to be a voter", func() bool {
		id, err := os.ReadFile(filepath.Join(replaced.dataDir, "disk-id"))
		r, ok := s.status(leader)
		if err != nil || !ok || len(r.GetKeepers()) != 3 {
			return false
		}
		for _, k := range r.GetKeepers() {
			if k.GetDisk() == strings.TrimSpace(string(id)) {
				return k.GetVoter()
			}
		}
		return false
	})
}

// The files of a replica can't grow for a while, as on a full disk. Later another replica is down, so a change needs the
// first one.
func diskFull(t *testing.T, s *system) {
	leader, full := s.leader(s.hosts[0])
	var other *host
	for _, h := range s.hosts {
		if h != leader && h != full {
			other = h
		}
	}
	pid := full.process.Process.Pid
	var before unix.Rlimit
	require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before))
	require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Max: before.Max}, nil))
	s.change(leader, &operator.Change{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: "while-full", MaxOutput: 8}}})
	require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil))
	s.kill(other)
	s.change(leader, &operator.Change{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: "after-full", MaxOutput: 8}}})
	s.start(other)
}

// The leader is paused by SIGSTOP while an API key is revoked. After it resumes, it must not accept the key.
func leaderPaused(t *testing.T, s *system) {
	leader, other := s.leader(s.hosts[0])
	require.NoError(t, leader.process.Process.Signal(syscall.SIGSTOP))
	s.change(other, &operator.Change{Change: &operator.Change_WithdrawKey{WithdrawKey: "shop"}})
	// The change is active once the lease of the paused host has expired.
	s.eventually("the revocation to be active", func() bool {
		r, ok := s.status(other)
		return ok && r.GetInForce() == r.GetVersion()
	})
	require.NoError(t, leader.process.Process.Signal(syscall.SIGCONT))
	for _, h := range s.hosts {
		resp, err := s.caller(h).Do(http.MethodPost, "/orders", []byte("late"))
		require.NoError(t, err)
		require.Contains(t, []string{"badKey", "notReady"}, resp.Kind, h.name)
		require.True(t, resp.NotExecuted)
	}
	require.Zero(t, s.orderService.CallCount("late"))
}

func drain(t *testing.T, s *system) {
	h := s.hosts[1]
	require.NoError(t, h.process.Process.Signal(syscall.SIGTERM))
	require.NoError(t, h.process.Wait())
	h.process = nil
}
