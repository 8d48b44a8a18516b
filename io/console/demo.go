package console

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderlever/core"
	"oleanderlever/io/caller"
	"oleanderlever/io/daemon"
	"oleanderlever/io/engine"
	"oleanderlever/io/operator"
	"oleanderlever/io/service"
)

type demoCommand struct {
	Verbose bool `long:"verbose" description:"print the hosts' logs"`
}

const (
	demoTimeout      = time.Minute
	demoOutputTokens = 24
	demoModel        = "verse-writer"
)

// demo is a system on loopback with its stand-ins and clients.
type demo struct {
	out          io.Writer
	hosts        *daemon.Loopback
	engines      []*engine.Engine
	orderService *service.Service
	operator     *operator.Client
	key          string
}

// Execute runs all steps and returns an error if a step does not have the result that its description states.
func (c *demoCommand) Execute([]string) error {
	log := io.Discard
	if c.Verbose {
		log = os.Stderr
	}
	dataDir, err := os.MkdirTemp("", "oleanderlever-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer func() { _ = os.RemoveAll(dataDir) }()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{out: os.Stdout}
	defer d.close()
	if d.hosts, err = daemon.StartLoopback(3, dataDir, log); err != nil {
		return err
	}
	return d.run(ctx)
}

func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		description string
		run         func(context.Context) error
	}{
		{"three hosts, two prefill and two decode engines, one order service", d.startUpstreams},
		{"an operator creates an account, a key, a model and routes", d.configure},
		{"a caller gets a streamed response", d.stream},
		{"a request without a key is refused", d.missingKey},
		{"an order sent twice through two hosts is executed once", d.duplicateOrder},
		{"a request over the rate is refused", d.rateLimited},
		{"a revoked key is refused", d.revokeKey},
	}
	for _, s := range steps {
		started := time.Now()
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, s.description)
		}
		_, _ = fmt.Fprintf(d.out, "ok  %-70s %6d ms\n", s.description, time.Since(started).Milliseconds())
	}
	return nil
}

func (d *demo) close() {
	for _, e := range d.engines {
		e.Stop()
	}
	if d.orderService != nil {
		d.orderService.Stop()
	}
	if d.hosts != nil {
		d.hosts.Close()
	}
}

func (d *demo) startUpstreams(context.Context) error {
	hosts := d.hosts.UpstreamAddrs()
	hostIP := d.hosts.Settings[0].Listen.Callers.Addr()
	for _, u := range []struct {
		id   core.UpstreamID
		role core.Role
	}{{"prefill-1", core.RolePrefill}, {"prefill-2", core.RolePrefill}, {"decode-1", core.RoleDecode}, {"decode-2", core.RoleDecode}} {
		addr, err := daemon.FreeAddr()
		if err != nil {
			return err
		}
		e, err := engine.Start(engine.Config{
			ID: u.id, Pool: demoModel, Role: u.role, DataCentre: "dc-1", Listen: addr, Hosts: hosts, Slots: 20, Pages: 64,
			PrefillPerToken: 20 * time.Microsecond, TokenInterval: 5 * time.Millisecond, OutputTokens: demoOutputTokens,
		})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	addr, err := daemon.FreeAddr()
	if err != nil {
		return err
	}
	d.orderService, err = service.Start(service.Config{ID: "orders-1", Pool: "print-desk", DataCentre: "dc-1", Listen: addr, Hosts: hosts, Slots: 8})
	d.operator = operator.NewClient(d.hosts.Settings[1].Listen.Operators, "")
	_, _ = fmt.Fprintf(d.out, "    hosts on %v, callers at %v\n", hostIP, d.hosts.Settings[0].Listen.Callers)
	return err
}

func (d *demo) configure(ctx context.Context) error {
	key, hash, err := operator.NewKey()
	if err != nil {
		return err
	}
	d.key = key
	var last core.ConfigVersion
	for _, change := range []*operator.Change{
		{Change: &operator.Change_PutAccount{PutAccount: &operator.Account{Id: "muscat-cards", Weight: 1, Rate: 2000, Burst: 2000}}},
		{Change: &operator.Change_AddKey{AddKey: &operator.Key{Id: "shop-1", Account: "muscat-cards", Hash: hash[:]}}},
		{Change: &operator.Change_PutModel{PutModel: &operator.Model{Id: demoModel, MaxOutput: 256}}},
		{Change: &operator.Change_PutRoute{PutRoute: &operator.Route{Name: "orders", Path: "/orders", Pool: "print-desk", TimeoutMillis: 5000, Cost: 1}}},
	} {
		if last, err = d.applyWhenLeaderElected(ctx, change); err != nil {
			return err
		}
	}
	_, err = d.operator.WaitUntilActive(ctx, last)
	return err
}

// applyWhenLeaderElected makes a change and retries it while there is no leader, and after transport errors.
func (d *demo) applyWhenLeaderElected(ctx context.Context, change *operator.Change) (core.ConfigVersion, error) {
	for {
		v, err := d.operator.Change(ctx, change)
		if k, ok := operator.KindOf(err); err == nil || (ok && k != core.KindNoLeader) || ctx.Err() != nil {
			return v, err
		}
	}
}

func (d *demo) caller(host int) *caller.Client {
	return &caller.Client{Addr: d.hosts.Settings[host].Listen.Callers, APIKey: d.key, Timeout: 10 * time.Second}
}

const demoBody = `{"model":"verse-writer","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"A verse for a first birthday."}]}`

func (d *demo) stream(context.Context) error {
	s, err := d.caller(0).Stream("/v1/chat/completions", []byte(demoBody), nil)
	if err != nil {
		return err
	}
	if s.Status != http.StatusOK || !s.Complete || s.Tokens != demoOutputTokens || s.ReportedTokens != demoOutputTokens {
		return errors.Newf("status %d, complete %t, %d tokens, %d reported tokens, kind %q", s.Status, s.Complete, s.Tokens, s.ReportedTokens, s.Kind)
	}
	_, _ = fmt.Fprintf(d.out, "    %q\n", s.Text)
	return nil
}

func (d *demo) missingKey(context.Context) error {
	c := d.caller(1)
	c.APIKey = ""
	resp, err := c.Do(http.MethodPost, "/v1/chat/completions", []byte(demoBody))
	return expectFailure(resp, err, http.StatusUnauthorized, core.KindNoKey)
}

func expectFailure(resp caller.Response, err error, status int, kind core.Kind) error {
	if err != nil {
		return err
	}
	if resp.Status != status || resp.Kind != kind.String() || !resp.NotExecuted {
		return errors.Newf("want %d %s, got %d %s, not executed %t: %s", status, kind, resp.Status, resp.Kind, resp.NotExecuted, resp.Body)
	}
	return nil
}

func (d *demo) duplicateOrder(context.Context) error {
	order := []byte(`{"card":"birthday","copies":1}`)
	idempotencyKey := caller.Header{Name: "Idempotency-Key", Value: "order-4711"}
	var bodies []string
	for host := range 2 {
		resp, err := d.caller(host).Do(http.MethodPost, "/orders", order, idempotencyKey)
		if err != nil {
			return err
		}
		if resp.Status != http.StatusOK || resp.StoredResponse != (host == 1) {
			return errors.Newf("host %d: status %d, stored response %t: %s", host, resp.Status, resp.StoredResponse, resp.Body)
		}
		bodies = append(bodies, string(resp.Body))
	}
	if executions := d.orderService.CallCount(string(order)); executions != 1 || bodies[0] != bodies[1] || d.orderService.ForeignCredentials() != 0 {
		return errors.Newf("the order was executed %d times; responses %q; requests with foreign credentials %d", executions, bodies, d.orderService.ForeignCredentials())
	}
	return nil
}

func (d *demo) rateLimited(context.Context) error {
	body := []byte(`{"model":"verse-writer","max_tokens":256,"prompt":"` + string(longPrompt()) + `"}`)
	resp, err := d.caller(2).Do(http.MethodPost, "/v1/completions", body)
	return expectFailure(resp, err, http.StatusTooManyRequests, core.KindRateLimited)
}

// longPrompt returns a prompt of more tokens than the account's burst.
func longPrompt() []byte {
	const promptBytes = 8 << 10
	out := make([]byte, promptBytes)
	for i := range out {
		out[i] = 'a' + byte(i%26)
	}
	return out
}

func (d *demo) revokeKey(ctx context.Context) error {
	v, err := d.operator.Change(ctx, &operator.Change{Change: &operator.Change_WithdrawKey{WithdrawKey: "shop-1"}})
	if err != nil {
		return err
	}
	if _, err := d.operator.WaitUntilActive(ctx, v); err != nil {
		return err
	}
	for host := range d.hosts.Settings {
		resp, err := d.caller(host).Do(http.MethodPost, "/v1/chat/completions", []byte(demoBody))
		if err := expectFailure(resp, err, http.StatusUnauthorized, core.KindBadKey); err != nil {
			return err
		}
	}
	return nil
}
