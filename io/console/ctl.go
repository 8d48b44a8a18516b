package console

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"oleanderlever/core"
	"oleanderlever/io/operator"
	"oleanderlever/io/settings"
)

// ctlCommand contains the operator commands as subcommands.
type ctlCommand struct {
	Account  accountCommand  `command:"account" description:"create or change a client account"`
	Delete   deleteCommand   `command:"delete" description:"delete an account, route or model"`
	Key      keyCommand      `command:"key" description:"create an API key and show it once"`
	Revoke   revokeCommand   `command:"withdraw" description:"revoke an API key"`
	Route    routeCommand    `command:"route" description:"create or change a route to a plain service"`
	Model    modelCommand    `command:"model" description:"create or change a model"`
	Policy   policyCommand   `command:"policy" description:"set the upstream policy of a pool"`
	Assign   assignCommand   `command:"assign" description:"set the desired state of an engine; the leader sends an assign request"`
	Evacuate evacuateCommand `command:"evacuate" description:"send nothing more to the upstreams of a data centre"`
	Drain    drainCommand    `command:"drain" description:"shut down the host at --addr gracefully"`
	Status   statusCommand   `command:"status" description:"show the state of the whole system"`
	History  historyCommand  `command:"history" description:"show the latest commands"`
}

// ctlFlags are the flags of all operator commands.
type ctlFlags struct {
	Addr            addrPort      `long:"addr" default:"127.0.0.1:7003" description:"operator address of any host"`
	Secret          string        `long:"secret" env:"OLEANDERLEVER_OPERATOR_SECRET"`
	Authority       string        `long:"authority" description:"PEM file of the hosts' certificate authority, if they use TLS"`
	JSON            bool          `long:"json" description:"print JSON"`
	Wait            bool          `long:"wait" description:"wait until the change is active on every host"`
	Timeout         time.Duration `long:"timeout" default:"30s"`
	ExpectedVersion *uint64       `long:"expect" description:"fail unless the configuration has this version"`
}

func (f *ctlFlags) client() (*operator.Client, error) {
	if f.Authority == "" {
		return operator.NewClient(f.Addr.AddrPort, f.Secret), nil
	}
	authority, err := settings.LoadCAs(f.Authority)
	return operator.NewTLSClient(f.Addr.AddrPort, f.Secret, authority), errors.Wrap(err, "--authority")
}

func (f *ctlFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.Timeout)
}

// apply makes a change, waits until it is active if --wait is set, and prints the version.
func (f *ctlFlags) apply(change *operator.Change) error {
	ctx, cancel := f.context()
	defer cancel()
	c, err := f.client()
	if err != nil {
		return err
	}
	v, err := f.change(ctx, c, change)
	if err != nil {
		return err
	}
	if f.Wait {
		outdated, err := c.WaitUntilActive(ctx, v)
		if err != nil {
			return errors.Wrapf(err, "not yet active on: %s", strings.Join(outdated, ", "))
		}
	}
	return f.printVersion(v)
}

func (f *ctlFlags) change(ctx context.Context, c *operator.Client, change *operator.Change) (core.ConfigVersion, error) {
	if f.ExpectedVersion != nil {
		return c.Apply(ctx, core.ConfigVersion(*f.ExpectedVersion), change)
	}
	return c.Change(ctx, change)
}

func (f *ctlFlags) printVersion(v core.ConfigVersion) error {
	format := "version %d\n"
	if f.JSON {
		format = "{\"version\":%d}\n"
	}
	_, err := fmt.Fprintf(os.Stdout, format, v)
	return err
}

type accountCommand struct {
	ctlFlags
	ID     string `long:"id" required:"true"`
	Weight int32  `long:"weight" default:"1"`
	Rate   int64  `long:"rate" required:"true" description:"tokens per second on all hosts together"`
	Burst  int64  `long:"burst" required:"true" description:"capacity of the token bucket"`
}

// Execute creates or changes a client account.
func (c *accountCommand) Execute([]string) error {
	a := &operator.Account{Id: c.ID, Weight: c.Weight, Rate: c.Rate, Burst: c.Burst}
	return c.apply(&operator.Change{Change: &operator.Change_PutAccount{PutAccount: a}})
}

type deleteCommand struct {
	ctlFlags
	Account string `long:"account"`
	Route   string `long:"route"`
	Model   string `long:"model"`
}

// Execute deletes the given account, route or model.
func (c *deleteCommand) Execute([]string) error {
	switch {
	case c.Account != "":
		return c.apply(&operator.Change{Change: &operator.Change_DeleteAccount{DeleteAccount: c.Account}})
	case c.Route != "":
		return c.apply(&operator.Change{Change: &operator.Change_DeleteRoute{DeleteRoute: c.Route}})
	case c.Model != "":
		return c.apply(&operator.Change{Change: &operator.Change_DeleteModel{DeleteModel: c.Model}})
	}
	return errors.New("give --account, --route or --model")
}

type keyCommand struct {
	ctlFlags
	ID      string `long:"id" required:"true" description:"name for revoking the key"`
	Account string `long:"account" required:"true"`
}

// Execute creates an API key and prints it. The system gets only its hash, so the key cannot be shown again.
func (c *keyCommand) Execute([]string) error {
	key, hash, err := operator.NewKey()
	if err != nil {
		return err
	}
	k := &operator.Key{Id: c.ID, Account: c.Account, Hash: hash[:]}
	if err := c.apply(&operator.Change{Change: &operator.Change_AddKey{AddKey: k}}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, key)
	return err
}

type revokeCommand struct {
	ctlFlags
	ID string `long:"id" required:"true"`
}

// Execute revokes an API key.
func (c *revokeCommand) Execute([]string) error {
	return c.apply(&operator.Change{Change: &operator.Change_WithdrawKey{WithdrawKey: c.ID}})
}

type routeCommand struct {
	ctlFlags
	Name           string        `long:"name" required:"true"`
	Path           string        `long:"path" required:"true"`
	Pool           string        `long:"pool" required:"true"`
	Public         bool          `long:"open" description:"the route requires no API key"`
	Idempotent     bool          `long:"repeatable" description:"requests are idempotent and may be retried"`
	Accounts       []string      `long:"account" description:"account that may use the route, default all; may be repeated"`
	Cost           int64         `long:"cost" default:"1" description:"tokens that a request takes from the account's token bucket"`
	RequestTimeout time.Duration `long:"call-timeout" default:"10s"`
}

// Execute creates or changes a route.
func (c *routeCommand) Execute([]string) error {
	r := &operator.Route{
		Name: c.Name, Path: c.Path, Pool: c.Pool, Open: c.Public, Repeatable: c.Idempotent, Accounts: c.Accounts,
		Cost: c.Cost, TimeoutMillis: c.RequestTimeout.Milliseconds(),
	}
	return c.apply(&operator.Change{Change: &operator.Change_PutRoute{PutRoute: r}})
}

type modelCommand struct {
	ctlFlags
	ID        string   `long:"id" required:"true"`
	MaxOutput int64    `long:"max-output" default:"1024"`
	Accounts  []string `long:"account" description:"account that may use the model, default all; may be repeated"`
}

// Execute creates or changes a model.
func (c *modelCommand) Execute([]string) error {
	m := &operator.Model{Id: c.ID, MaxOutput: c.MaxOutput, Accounts: c.Accounts}
	return c.apply(&operator.Change{Change: &operator.Change_PutModel{PutModel: m}})
}

type policyCommand struct {
	ctlFlags
	Pool          string   `long:"pool" required:"true"`
	ChecksSender  bool     `long:"checks-sender"`
	ChecksFencing bool     `long:"checks-fencing"`
	AutoRoles     bool     `long:"auto-roles" description:"switch engines between prefill and decode when demand shifts"`
	Drained       []string `long:"drained" description:"upstream that gets no new requests; may be repeated"`
}

// Execute sets the upstream policy of a pool.
func (c *policyCommand) Execute([]string) error {
	p := &operator.UpstreamPolicy{Pool: c.Pool, ChecksSender: c.ChecksSender, ChecksFencing: c.ChecksFencing, AutoRoles: c.AutoRoles, Drained: c.Drained}
	return c.apply(&operator.Change{Change: &operator.Change_PutPolicy{PutPolicy: p}})
}

type assignCommand struct {
	ctlFlags
	Upstream string `long:"upstream" required:"true"`
	Pool     string `long:"pool" required:"true" description:"model to load"`
	Role     string `long:"role" default:"both" choice:"prefill" choice:"decode" choice:"both"`
	Version  string `long:"version" description:"version of the model weights, default any"`
	Adapter  string `long:"adapter" description:"adapter, default any"`
	Clear    bool   `long:"clear" description:"delete the engine's assignment"`
}

// Execute sets or deletes the assignment of an engine.
func (c *assignCommand) Execute([]string) error {
	if c.Clear {
		return c.apply(&operator.Change{Change: &operator.Change_DeleteAssignment{DeleteAssignment: c.Upstream}})
	}
	a := &operator.Assignment{Upstream: c.Upstream, Pool: c.Pool, Role: c.Role, Version: c.Version, Adapter: c.Adapter}
	return c.apply(&operator.Change{Change: &operator.Change_PutAssignment{PutAssignment: a}})
}

type evacuateCommand struct {
	ctlFlags
	End  bool `long:"end" description:"end the evacuation"`
	Args struct {
		DataCentre string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute begins or ends the evacuation of a data centre.
func (c *evacuateCommand) Execute(rest []string) error {
	if len(rest) > 0 {
		return errors.Newf("give one data centre; %q is one too many", rest[0])
	}
	if c.End {
		return c.apply(&operator.Change{Change: &operator.Change_EndEvacuation{EndEvacuation: c.Args.DataCentre}})
	}
	return c.apply(&operator.Change{Change: &operator.Change_Evacuate{Evacuate: c.Args.DataCentre}})
}

type drainCommand struct{ ctlFlags }

// Execute starts a graceful shutdown of the host at --addr.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.Drain(ctx)
}

type statusCommand struct{ ctlFlags }

// Execute prints the state of the system.
func (c *statusCommand) Execute([]string) error {
	return c.printStatusReply(func(w io.Writer, s *operator.StatusReply) { printStatus(w, s) })
}

type historyCommand struct{ ctlFlags }

// Execute prints the latest commands.
func (c *historyCommand) Execute([]string) error {
	return c.printStatusReply(func(w io.Writer, s *operator.StatusReply) { printHistory(w, s) })
}

// printStatusReply requests the status and prints it with write, or as JSON if --json is set.
func (f *ctlFlags) printStatusReply(write func(io.Writer, *operator.StatusReply)) error {
	ctx, cancel := f.context()
	defer cancel()
	c, err := f.client()
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if f.JSON {
		_, err := fmt.Fprintln(os.Stdout, protojson.Format(s))
		return err
	}
	write(os.Stdout, s)
	return nil
}
