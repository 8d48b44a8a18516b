package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/daemon"
	"oleanderlever/io/engine"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
	"oleanderlever/io/upstream"
)

// startFastSystem starts a host and stand-ins with minimal delays, so that benchmarks measure the host.
func startFastSystem(b *testing.B, output core.Tokens) (*daemon.Loopback, *engine.Engine, *service.Service, string) {
	loopback, err := daemon.StartLoopback(1, b.TempDir(), io.Discard)
	require.NoError(b, err)
	b.Cleanup(loopback.Close)
	addr, err := daemon.FreeAddr()
	require.NoError(b, err)
	e, err := engine.Start(engine.Config{
		ID: "engine-1", Pool: model, Role: core.RoleBoth, Listen: addr, Hosts: loopback.UpstreamAddrs(), Slots: 64, Pages: 4096,
		TokenInterval: time.Millisecond, OutputTokens: output,
	})
	require.NoError(b, err)
	b.Cleanup(e.Kill)
	addr, err = daemon.FreeAddr()
	require.NoError(b, err)
	s, err := service.Start(service.Config{ID: "service-1", Pool: "menu", Listen: addr, Hosts: loopback.UpstreamAddrs(), Slots: 64})
	require.NoError(b, err)
	b.Cleanup(s.Stop)
	return loopback, e, s, configureFast(b, loopback)
}

func configureFast(b *testing.B, loopback *daemon.Loopback) string {
	ctl := operator.NewClient(loopback.Settings[0].Listen.Operators, "")
	key, hash, err := operator.NewKey()
	require.NoError(b, err)
	for _, c := range []*operator.Change{
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: "bench", Weight: 1, Rate: 1e8, Burst: 1e9}}},
		{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: model, MaxOutput: 4096}}},
		{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{Name: "menu", Path: "/menu", Pool: "menu", TimeoutMillis: 3000, Repeatable: true}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "app", Account: "bench", Hash: hash[:]}}},
	} {
		for {
			_, err := ctl.Change(b.Context(), c)
			if k, _ := operator.KindOf(err); k != core.KindNoLeader {
				require.NoError(b, err)
				break
			}
		}
	}
	c := &caller.Client{Addr: loopback.Settings[0].Listen.Callers, APIKey: key, Timeout: testTimeout}
	for _, path := range []string{"/menu", "/v1/models"} {
		require.Eventually(b, func() bool {
			resp, err := c.Do(http.MethodGet, path, nil)
			return err == nil && resp.Status == http.StatusOK
		}, testTimeout, 10*time.Millisecond)
	}
	return key
}

func benchmarkGet(b *testing.B, addr netip.AddrPort, key string) {
	c := &fasthttp.HostClient{Addr: addr.String()}
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("/menu")
	req.SetHost(addr.String())
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	b.ResetTimer()
	for range b.N {
		require.NoError(b, c.Do(&req, &resp))
		require.Equal(b, http.StatusOK, resp.StatusCode())
	}
}

// BenchmarkService compares requests to a plain service directly and through a host.
func BenchmarkService(b *testing.B) {
	loopback, _, s, key := startFastSystem(b, 1)
	b.Run("direct", func(b *testing.B) { benchmarkGet(b, s.Addr(), "") })
	b.Run("host", func(b *testing.B) { benchmarkGet(b, loopback.Settings[0].Listen.Callers, key) })
}

// BenchmarkModel compares a prefill and a decode of one token directly and through a host. The stand-in takes one
// millisecond for the token.
func BenchmarkModel(b *testing.B) {
	loopback, e, _, key := startFastSystem(b, 1)
	b.Run("direct", func(b *testing.B) {
		c := upstream.NewClient("", nil)
		for n := range b.N {
			a := core.AttemptID{Request: "bench", Number: n}
			request := body("bench", false)
			p, failure := c.Prefill(e.Addr(), &upstream.PrefillRequest{Attempt: a.String(), Body: request}, time.Second)
			require.Nil(b, failure)
			end := c.Decode(e.Addr(), &upstream.DecodeRequest{
				Attempt: a.String(), KVAddr: e.Addr(), KVHandle: p.Handle, Body: request, MaxTokens: 16,
			}, time.Second, upstream.DecodeCallbacks{OnToken: func(string) error { return nil }})
			require.Nil(b, end.Failure)
		}
	})
	b.Run("host", func(b *testing.B) {
		c := &fasthttp.HostClient{Addr: loopback.Settings[0].Listen.Callers.String()}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod(http.MethodPost)
		req.SetRequestURI("/v1/chat/completions")
		req.SetHost(c.Addr)
		req.Header.Set("Authorization", "Bearer "+key)
		req.SetBody(body("bench", false))
		b.ResetTimer()
		for range b.N {
			require.NoError(b, c.Do(&req, &resp))
			require.Equal(b, http.StatusOK, resp.StatusCode(), "%s", resp.Body())
		}
	})
}

// BenchmarkRelay streams long responses on 48 connections and reports tokens per second, from the stand-in directly and
// through a host. The stand-in, the host and the callers share the machine.
func BenchmarkRelay(b *testing.B) {
	const tokens, streams = 2000, 48
	loopback, e, _, key := startFastSystem(b, tokens)
	run := func(b *testing.B, stream func(n int) (int, error)) {
		b.ResetTimer()
		for i := range b.N {
			var wg sync.WaitGroup
			for n := range streams {
				wg.Go(func() {
					if got, err := stream(i*streams + n); err != nil || got != tokens {
						b.Errorf("%d tokens: %v", got, err)
					}
				})
			}
			wg.Wait()
		}
		b.ReportMetric(float64(b.N*tokens*streams)/b.Elapsed().Seconds(), "tokens/s")
	}
	b.Run("direct", func(b *testing.B) {
		run(b, func(n int) (int, error) { return streamDirectly(e, b.N*1_000_000+n, tokens) })
	})
	b.Run("host", func(b *testing.B) {
		run(b, func(int) (int, error) {
			c := &caller.Client{Addr: loopback.Settings[0].Listen.Callers, APIKey: key, Timeout: testTimeout}
			st, err := c.Stream("/v1/chat/completions", body("relay", true), nil)
			return st.Tokens, err
		})
	})
}

// streamDirectly reads one stream from the stand-in and returns the number of tokens.
func streamDirectly(e *engine.Engine, n int, maxTokens core.Tokens) (int, error) {
	c := upstream.NewClient("", nil)
	a := core.AttemptID{Request: "relay", Number: n}
	p, f := c.Prefill(e.Addr(), &upstream.PrefillRequest{Attempt: a.String(), Body: body("relay", true)}, testTimeout)
	if f != nil {
		return 0, f
	}
	got := 0
	end := c.Decode(e.Addr(), &upstream.DecodeRequest{
		Attempt: a.String(), KVAddr: e.Addr(), KVHandle: p.Handle, Body: body("relay", true), MaxTokens: maxTokens,
	}, testTimeout, upstream.DecodeCallbacks{OnToken: func(string) error {
		got++
		return nil
	}})
	if end.Failure != nil {
		return got, end.Failure
	}
	return got, nil
}

// BenchmarkCommit measures the time until an operator's change is on the disks of a majority of replicas.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("keepers=%d", replicas), func(b *testing.B) {
			loopback, err := daemon.StartLoopback(replicas, b.TempDir(), io.Discard)
			require.NoError(b, err)
			b.Cleanup(loopback.Close)
			ctl := operator.NewClient(loopback.Settings[0].Listen.Operators, "")
			change := &operator.Change{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: "bench", Weight: 1}}}
			var version core.ConfigVersion
			require.Eventually(b, func() bool {
				version, err = ctl.Change(b.Context(), change)
				return err == nil
			}, testTimeout, 10*time.Millisecond)
			b.ResetTimer()
			for range b.N {
				version, err = ctl.Apply(b.Context(), version, change)
				require.NoError(b, err)
			}
		})
	}
}
