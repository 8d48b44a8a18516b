package main_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oleanderlever/core"
	"oleanderlever/io/faulty"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
	"oleanderlever/io/upstream"
)

const (
	// memoryMB is the memory of the host under test.
	memoryMB = 128
	// endlessCalls is the number of simultaneous calls whose response does not end.
	endlessCalls = 64
)

// A host must not run out of memory when many upstreams send responses without end, and must serve other requests
// meanwhile: its memory stays under half its limit.
func TestEndlessResponsesKeepMemoryAndService(t *testing.T) {
	s := startSingleHost(t, memoryMB)
	h := s.hosts[0]
	responses := append(faulty.Responses(""), faulty.Endless{
		Name: "body of 15 MiB", Start: "HTTP/1.1 200 OK\r\nContent-Length: 15728640\r\n\r\n", Repeat: "a",
	})
	startEndlessService(t, h.upstreams, responses)
	healthy, err := service.Start(service.Config{ID: "menu-1", Pool: "menu", Listen: freeAddr(t), Hosts: []netip.AddrPort{h.upstreams}, Slots: 8})
	require.NoError(t, err)
	t.Cleanup(healthy.Stop)
	for _, name := range []string{"endless", "menu"} {
		s.change(h, &operator.Change{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{
			Name: name, Path: "/" + name, Pool: name, TimeoutMillis: 3000, Open: true,
		}}})
	}
	served := func() bool {
		resp, err := s.caller(h).Do(http.MethodPost, "/menu", []byte("x"))
		return err == nil && resp.Status == http.StatusOK
	}
	s.eventually("the healthy service", served)

	var calls sync.WaitGroup
	for range endlessCalls {
		calls.Go(func() {
			for range 2 {
				_, _ = s.caller(h).Do(http.MethodPost, "/endless", []byte("x"))
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		calls.Wait()
	}()
	good, tries, worst := 0, 0, 0
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		worst = max(worst, residentKB(t, h.process.Process.Pid))
		if tries++; served() {
			good++
		}
	}
	t.Logf("%d of %d other requests served, at most %d kB resident", good, tries, worst)
	require.Less(t, worst, memoryMB<<10/2, "resident kB")
	require.Equal(t, tries, good, "other requests served")
}

// startSingleHost starts one host that is its own replica set, with a memory limit in MiB and further tables of settings.
func startSingleHost(t *testing.T, memory int, tables ...string) *system {
	h := &host{name: "h1", callers: freeAddr(t), upstreams: freeAddr(t), hosts: freeAddr(t), operatorAddr: freeAddr(t)}
	h.dataDir = filepath.Join(t.TempDir(), "data")
	s := &system{t: t, binary: buildBinary(t), hosts: []*host{h}}
	h.settings, h.log = filepath.Join(t.TempDir(), "settings.toml"), filepath.Join(t.TempDir(), "log")
	text := fmt.Sprintf(`host = "h1"
dataCentre = "dc-1"
roles = ["entry", "keeper"]
keepers = ["h1"]
seeds = []
dataFolder = %q
memoryMB = %d
[listen]
callers = %q
upstreams = %q
hosts = %q
operators = %q
%s
`, h.dataDir, memory, h.callers, h.upstreams, h.hosts, h.operatorAddr, strings.Join(tables, "\n"))
	require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	s.start(h)
	t.Cleanup(func() {
		s.kill(h)
		if t.Failed() {
			s.printLog(h)
		}
	})
	return s
}

// startEndlessService announces a plain service that sends one endless response after the other.
func startEndlessService(t *testing.T, hostAddr netip.AddrPort, responses []faulty.Endless) {
	addr := freeAddr(t)
	l, err := net.Listen("tcp", addr.String())
	require.NoError(t, err)
	announcer := &upstream.Announcer{
		Announcement: core.Announcement{
			ID: "endless-1", Pool: "endless", Role: core.RoleService, Addr: addr, Incarnation: 1, Slots: 2 * endlessCalls,
		},
		Hosts: []netip.AddrPort{hostAddr},
	}
	announcer.Start()
	t.Cleanup(func() {
		announcer.Stop()
		_ = l.Close()
	})
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					responses[n%len(responses)].Send(conn)
				}
			}()
		}
	}()
}

// residentKB returns the resident memory of a process in kB.
func residentKB(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(t, err)
			return n
		}
	}
	require.Fail(t, "no VmRSS")
	return 0
}
