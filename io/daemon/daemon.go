package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	randv2 "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleanderlever/core"
	"oleanderlever/io/clock"
	"oleanderlever/io/control"
	"oleanderlever/io/http1"
	"oleanderlever/io/settings"

	// These packages register the kernel's plug-ins and the peers in their init functions.
	_ "oleanderlever/core/config"
	_ "oleanderlever/core/dispatch"
	_ "oleanderlever/core/entry"
	_ "oleanderlever/core/gossip"
	_ "oleanderlever/core/lease"
	_ "oleanderlever/core/member"
	_ "oleanderlever/core/once"
	_ "oleanderlever/core/order"
	_ "oleanderlever/core/origin"
	_ "oleanderlever/core/quarantine"
	_ "oleanderlever/core/quota"
	_ "oleanderlever/core/registry"
	_ "oleanderlever/core/replica"
	_ "oleanderlever/io/caller"
	_ "oleanderlever/io/disk"
	_ "oleanderlever/io/host"
	_ "oleanderlever/io/operator"
	_ "oleanderlever/io/telemetry"
	_ "oleanderlever/io/upstream"
	_ "oleanderlever/platform"
)

// Daemon is a running host.
type Daemon struct {
	host      *control.Host
	instances []control.Instance
	drained   chan struct{}
	drainOnce sync.Once
}

// Start opens all peers and runs the kernel. If it fails, it closes the peers that are already open.
func Start(s *settings.Host, log zerolog.Logger) (*Daemon, error) {
	rng, boot, err := newRand()
	if err != nil {
		return nil, err
	}
	d := &Daemon{host: &control.Host{
		Settings: s, Loop: control.NewLoop(), Log: log, Requester: control.NewRequester(), Bodies: newBodyBudget(s.MemoryMB),
	}, drained: make(chan struct{})}
	d.host.Env = core.Env{
		Self: core.HostID(s.Host), DataCentre: core.DataCentre(s.DataCentre), Addr: s.Listen.PeerAddr(), Boot: boot,
		Seeds: s.Seeds, Rand: rng, Limits: core.DefaultLimits(), RetryBudget: core.DefaultRetryBudget(),
		Entry: s.HasRole(settings.RoleEntry),
	}
	for _, replica := range s.InitialReplicas() {
		d.host.Env.InitialReplicas = append(d.host.Env.InitialReplicas, core.HostID(replica))
	}
	applySettings(&d.host.Env, s)
	for _, p := range control.Peers() {
		instance, err := p.Open(d.host)
		if err != nil {
			d.closePeers()
			return nil, errors.Wrap(err, p.Name)
		}
		d.instances = append(d.instances, instance)
	}
	if s.ReplicasFrom == settings.ReplicasFromSeeds {
		addStoredReplicas(&d.host.Env)
	}
	d.host.Loop.OnFull = func(kinds map[string]int) {
		log.Warn().Interface("events", kinds).Msg("the mailbox was full; events of remote ends were dropped or refused")
	}
	d.host.Loop.Start(core.New(d.host.Env), d.perform)
	for _, i := range d.instances {
		if i.Start != nil {
			i.Start()
		}
	}
	log.Info().Str("disk", string(d.host.Env.Disk)).Uint64("boot", boot).Msg("host started")
	return d, nil
}

const (
	// missedHeartbeats is the number of heartbeats that an upstream may miss before it counts as unavailable; a single
	// heartbeat may be seconds late.
	missedHeartbeats = 4
	// usableRetryRatio is the part of the allowed retries that hosts use. The rest is a reserve, since each host sees only
	// a part of the system.
	usableRetryRatio = 0.6
	// overdraftDivisor divides the slack; hosts may spend the result ahead of grants. The rest is left for the
	// initial tokens of new quota owners, which cannot know what their predecessors had left.
	overdraftDivisor = 2
	// initialTokensDivisor divides the slack; a new quota owner starts with the result. Three successive leaders then stay
	// within the half that the overdraft leaves.
	initialTokensDivisor = 6
	// fallbackBurstDivisor divides the slack; an account's deputy grants the result at once while the quota owner does not
	// respond. The owner grants nothing in that time, so the account's own burst leaves room for it.
	fallbackBurstDivisor = 7
	// fallbackRateShare is the part of the rates that hosts may spend while the quota owner does not respond to them. It is
	// below 1 since the owner may still grant tokens to other hosts.
	fallbackRateShare = 0.5
)

const (
	megabyte = 1 << 20
	// bodyMemoryRatio is the part of the host's memory that bodies in transit may take. The heap may grow to twice what is
	// in use before a garbage collection.
	bodyMemoryRatio = 0.1
	// defaultBodyMemory in bytes applies to a host whose settings do not tell its memory.
	defaultBodyMemory = 256 * megabyte
)

// newBodyBudget returns the budget for the bodies of a host with memoryMB megabytes of memory; zero means unknown.
func newBodyBudget(memoryMB int64) *http1.MemoryBudget {
	if memoryMB == 0 {
		return http1.NewMemoryBudget(defaultBodyMemory)
	}
	return http1.NewMemoryBudget(int64(bodyMemoryRatio * float64(memoryMB*megabyte)))
}

var placementModes = map[settings.Placement]core.PlacementMode{
	settings.PlacementPool: core.PlacementPerPool, settings.PlacementHost: core.PlacementPerHost,
	settings.PlacementMixed: core.PlacementMixed,
}

// applySettings sets the fields of env for the replica set, quotas, isolation, assign requests, heartbeats, placement,
// regions and retries from the settings.
func applySettings(env *core.Env, s *settings.Host) {
	if s.ReplicasFrom == settings.ReplicasFromSeeds {
		env.TargetVoters = 2*s.ToleratedFailures + 1
	}
	env.ServeStale = s.ServeStale
	env.Quota.Overdraft = core.Tokens(s.Quota.Slack / overdraftDivisor)
	env.Quota.InitialTokens = core.Tokens(s.Quota.Slack / initialTokensDivisor)
	if s.ServeStale {
		env.Quota.FallbackRateShare = fallbackRateShare
		env.Quota.FallbackBurst = core.Tokens(s.Quota.Slack / fallbackBurstDivisor)
	}
	env.AssignDelay = s.AssignDelay.Duration
	env.UpstreamHeartbeatTimeout = missedHeartbeats * s.UpstreamHeartbeatInterval.Duration
	env.Placement = placementModes[s.Placement]
	env.Regions = map[core.DataCentre]core.Region{}
	for dataCentre, region := range s.Regions {
		if region != "" {
			env.Regions[core.DataCentre(dataCentre)] = core.Region(region)
		}
	}
	if s.Retries.Ratio > 0 {
		env.RetryBudget = core.RetryBudget{Ratio: usableRetryRatio * s.Retries.Ratio, Burst: usableRetryRatio * s.Retries.Burst, Shared: true}
	}
}

// addStoredReplicas adds the replicas recorded in the data directory to the seeds, since the seeds in the settings may
// all be outdated. Hosts are named by their IP addresses and use the same port.
func addStoredReplicas(env *core.Env) {
	for _, replica := range env.StoredState.LastReplicaSet().Members {
		ip, err := netip.ParseAddr(string(replica.Host))
		if err != nil {
			continue
		}
		if addr := netip.AddrPortFrom(ip, env.Addr.Port()); !slices.Contains(env.Seeds, addr) {
			env.Seeds = append(env.Seeds, addr)
		}
	}
}

// newRand returns a random number generator seeded by the operating system, and a boot number: the Unix time in
// milliseconds.
func newRand() (*randv2.Rand, uint64, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, 0, errors.Wrap(err, "seed")
	}
	src := randv2.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))
	return randv2.New(src), uint64(time.Now().UnixMilli()), nil
}

// perform passes an action to all peers. It runs on the control goroutine.
func (d *Daemon) perform(a core.Action) {
	d.host.Requester.Deliver(a)
	if _, ok := a.(core.Drained); ok {
		d.drainOnce.Do(func() { close(d.drained) })
	}
	for _, i := range d.instances {
		if i.Perform != nil {
			i.Perform(a)
		}
	}
}

// Drained returns a channel that is closed when a graceful shutdown has completed the last request.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

// Drain shuts down gracefully: after the lame duck period it refuses new requests, and it returns when the running ones
// are complete and their responses are written. When the context ends, all requests that are left are refused, and it
// returns once their callers have been told, or after closeTimeout.
func (d *Daemon) Drain(ctx context.Context) {
	endsAt := endOf(ctx)
	if wait := d.host.Settings.Requests.LameDuck.Duration; wait > 0 {
		longUntil := clock.Now().Add(d.host.Settings.Requests.LongLameDuck.Duration)
		d.host.Loop.Post(core.LameDuck{LongUntil: longUntil, EndsAt: endsAt})
		select {
		case <-time.After(wait):
		case <-d.drained:
		case <-ctx.Done():
		}
	}
	d.host.Loop.Post(core.Draining{EndsAt: endsAt})
	d.waitDrained(ctx)
	if ctx.Err() == nil {
		return
	}
	d.host.Loop.Post(core.Draining{EndsAt: clock.Now()})
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.waitDrained(closing)
}

// closeTimeout limits the writing of the responses to the requests that are refused when a shutdown ends.
const closeTimeout = 400 * time.Millisecond

// waitDrained waits until no request is left and all responses are written, or the context ends.
func (d *Daemon) waitDrained(ctx context.Context) {
	select {
	case <-d.drained:
	case <-ctx.Done():
	}
	for _, i := range d.instances {
		if i.Drain != nil {
			i.Drain(ctx)
		}
	}
}

// endOf returns the deadline of a context on the host's clock, or zero if it has none.
func endOf(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return clock.Now().Add(time.Until(deadline))
}

// SeedsChanged replaces the kernel's seeds.
func (d *Daemon) SeedsChanged(seeds []netip.AddrPort) {
	d.host.Loop.Post(core.SeedsChanged{Seeds: seeds})
}

// Close stops the host immediately. For a graceful shutdown, call Drain first.
func (d *Daemon) Close() {
	d.closePeers()
	d.host.Loop.Stop()
}

func (d *Daemon) closePeers() {
	for n := len(d.instances) - 1; n >= 0; n-- {
		if d.instances[n].Close != nil {
			d.instances[n].Close()
		}
	}
}
