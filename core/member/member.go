package member

import (
	"fmt"
	"maps"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"oleanderlever/core"
)

// Timing of the failure detector. Each host probes one other host per ProbeInterval, and each of n others once in about
// n times ProbeInterval. All hosts together probe a failed host about once per ProbeInterval, and it is declared dead
// SuspectTimeout after it became suspect.
const (
	// ProbeInterval is the time between two probes that a host starts.
	ProbeInterval = 500 * time.Millisecond
	// PongTimeout is how long a host waits for a Pong before it requests indirect probes.
	PongTimeout = 200 * time.Millisecond
	// SuspectTimeout is the time after which a suspect host that has not refuted the suspicion is declared dead.
	SuspectTimeout = 2 * time.Second
	// SeedInterval is the shortest time between two pings of a seed while all seeds are known hosts.
	SeedInterval = 5 * time.Second
	// isolatedSeedInterval is the time between two pings of a seed while no other host is known. It is short because the
	// host cannot serve requests until it has found another one.
	isolatedSeedInterval = 100 * time.Millisecond
	// missingSeedInterval is the time between two pings of a seed while the address of some seed belongs to no known host.
	missingSeedInterval = 500 * time.Millisecond
	// seedIntervalPerHost times the number of known hosts replaces SeedInterval where it is longer, so that all hosts
	// together send one ping to seeds per seedIntervalPerHost.
	seedIntervalPerHost = 100 * time.Millisecond
	// tombstoneTTL is how long a host that has left or died stays in the member table.
	tombstoneTTL = time.Minute
)

const (
	rank = 5
	// indirectProbeCount is the number of other hosts that are asked to probe a host that did not respond.
	indirectProbeCount = 2
	// maxUpdatesPerMessage bounds the member updates piggybacked on one message.
	maxUpdatesPerMessage = 6
	// retransmitMultiplier times the logarithm of the number of hosts is how often each update is sent.
	retransmitMultiplier = 3
	// maxSampledMembers bounds the additional members in a Pong to a host that knows fewer hosts.
	maxSampledMembers = 24
)

// memberEntry is the entry of another host in the member table.
type memberEntry struct {
	core.Member
	// stateSince is when this host recorded the state.
	stateSince time.Time
	// remainingSends is how often the state is still to be piggybacked on messages.
	remainingSends int
}

// probe is the probe in progress; seq is zero if there is none.
type probe struct {
	target core.HostID
	seq    uint64
	// indirectAt is when indirect probes are requested, suspectAt when the target becomes suspect.
	indirectAt time.Time
	suspectAt  time.Time
}

// relayedProbe is an indirect probe that another host has requested.
type relayedProbe struct {
	requester core.HostID
	seq       uint64
	expires   time.Time
}

// component is a SWIM failure detector (Das, Gupta, Motivala 2002): one probe per period in random order, indirect
// probes before a host becomes suspect, incarnation numbers to refute a suspicion, and updates piggybacked on probes.
// All-to-all heartbeats were rejected because their traffic grows with the square of the number of hosts. The newscast
// protocol (Voulgaris, Jelasity, van Steen 2003) needs no probes, but detects a failure only when the host's item ages
// out of the caches. docs/DESIGN.md compares measurements of SWIM and newscast.
type component struct {
	self          core.Member
	maxHosts      int
	seeds         []netip.AddrPort
	seedIndex     int
	rand          *rand.Rand
	hosts         map[core.HostID]*memberEntry
	probeOrder    []core.HostID
	seq           uint64
	probe         probe
	relayedProbes map[uint64]relayedProbe
	nextProbe     time.Time
	nextSeedPing  time.Time
	dirty         bool
	// version is the configuration version that is active on this host.
	version core.ConfigVersion
	// loggedBoots has the boot number of each host that was live when changes were last logged.
	loggedBoots map[core.HostID]uint64
}

func init() { core.Register(Plugin()) }

// Plugin returns the membership plug-in.
func Plugin() core.Plugin { return core.Plugin{Name: "member", Rank: rank, New: newComponent} }

func newComponent(env core.Env) core.Component {
	c := &component{
		self: core.Member{
			Host: env.Self, Addr: env.Addr, DataCentre: env.DataCentre, Disk: env.Disk, Entry: env.Entry,
			Boot: env.Boot, Incarnation: 1, State: core.MemberAlive,
		},
		maxHosts: env.Limits.Hosts, seeds: env.Seeds, rand: env.Rand,
		hosts: map[core.HostID]*memberEntry{}, relayedProbes: map[uint64]relayedProbe{},
	}
	if len(c.seeds) > 0 {
		c.seedIndex = c.rand.IntN(len(c.seeds))
	}
	return core.Component{Handle: c.handle, NextDeadline: c.nextDeadline, Gauges: c.gauges}
}

func (c *component) handle(t *core.Turn, ev core.Event) {
	switch e := ev.(type) {
	case core.Started:
		c.nextProbe = t.Now
		c.dirty = true
		c.tick(t)
	case core.Tick:
		c.tick(t)
	case core.SeedsChanged:
		c.seeds = e.Seeds
	case core.ConfigActivated:
		c.version = e.Config.Version
	case core.Draining:
		c.self.Leaving = true
		c.self.Incarnation++
		c.announceSelf(t)
	case core.Drained:
		c.self.State = core.MemberLeft
		c.announceSelf(t)
	case core.MessageReceived:
		c.handleMessage(t, e.From, e.Message)
	}
	c.publish(t)
}

func (c *component) handleMessage(t *core.Turn, from core.HostID, m core.Message) {
	switch m := m.(type) {
	case core.Ping:
		c.handlePing(t, from, m)
		c.compareVersion(t, from, m.Version)
	case core.Pong:
		c.handlePong(t, m)
		c.compareVersion(t, from, m.Version)
	}
}

// compareVersion tells the other components of a newer configuration. Each host pings another one in every ProbeInterval,
// so a host that missed a change hears of it soon, whatever messages were lost.
func (c *component) compareVersion(t *core.Turn, from core.HostID, version core.ConfigVersion) {
	if version > c.version {
		t.Post(core.ConfigVersionHeard{From: from, Version: version})
	}
}

func (c *component) handlePing(t *core.Turn, from core.HostID, m core.Ping) {
	c.applyUpdate(t, m.From)
	c.applyUpdates(t, m.Updates)
	if m.ProbeTarget == "" || m.ProbeTarget == c.self.Host {
		// The address is given because the transport learns the address of a new host only after this step.
		t.Emit(core.SendMessage{To: from, Addr: m.From.Addr, Message: core.Pong{
			Seq: m.Seq, From: c.self, Updates: append(c.selectUpdates(from), c.sampleMembers(m)...), Version: c.version,
		}})
		return
	}
	c.seq++
	c.relayedProbes[c.seq] = relayedProbe{requester: from, seq: m.Seq, expires: t.Now.Add(ProbeInterval)}
	t.Send(m.ProbeTarget, core.Ping{Seq: c.seq, From: c.self})
}

func (c *component) handlePong(t *core.Turn, m core.Pong) {
	c.applyUpdate(t, m.From)
	c.applyUpdates(t, m.Updates)
	if m.Seq == c.probe.seq {
		c.probe = probe{}
	}
	if r, ok := c.relayedProbes[m.Seq]; ok {
		delete(c.relayedProbes, m.Seq)
		t.Send(r.requester, core.Pong{Seq: r.seq, From: m.From})
	}
}

func (c *component) applyUpdates(t *core.Turn, updates []core.Member) {
	for _, m := range updates {
		c.applyUpdate(t, m)
	}
}

// applyUpdate applies an update about a host if it supersedes the known state. An update about this host is refuted if
// necessary.
func (c *component) applyUpdate(t *core.Turn, m core.Member) {
	if m.Host == c.self.Host {
		c.refuteSuspicion(m)
		return
	}
	e := c.hosts[m.Host]
	if e == nil {
		if m.State >= core.MemberLeft || len(c.hosts) >= c.maxHosts {
			return
		}
		c.hosts[m.Host] = &memberEntry{Member: m, stateSince: t.Now, remainingSends: c.maxSends()}
		c.dirty = true
		return
	}
	if m.State == core.MemberDead && e.State == core.MemberAlive {
		// A host that was isolated reports all others as dead, so each of them gets time to refute it.
		m.State = core.MemberSuspect
	}
	if !supersedes(m, e.Member) {
		return
	}
	c.dirty = c.dirty || m.Boot != e.Boot || m.State != e.State || m.Leaving != e.Leaving || m.Addr != e.Addr
	*e = memberEntry{Member: m, stateSince: t.Now, remainingSends: c.maxSends()}
}

// supersedes reports whether update a replaces b: it has the later boot, then the higher incarnation, then the worse
// state.
func supersedes(a, b core.Member) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// refuteSuspicion raises this host's incarnation if an update reports it as anything but alive.
func (c *component) refuteSuspicion(m core.Member) {
	if m.Boot == c.self.Boot && m.State != core.MemberAlive && m.Incarnation >= c.self.Incarnation &&
		c.self.State == core.MemberAlive {
		c.self.Incarnation = m.Incarnation + 1
	}
}

func (c *component) tick(t *core.Turn) {
	c.checkProbeTimeouts(t)
	c.expireStates(t)
	if core.Due(c.nextProbe, t.Now) {
		c.nextProbe = t.Now.Add(ProbeInterval)
		if len(c.hosts) == 0 {
			c.nextProbe = t.Now.Add(isolatedSeedInterval)
		}
		c.startProbe(t)
		c.pingSuspects(t)
		c.pingNextSeed(t)
	}
}

func (c *component) startProbe(t *core.Turn) {
	target := c.nextProbeTarget()
	if target == "" {
		return
	}
	c.seq++
	c.probe = probe{
		target: target, seq: c.seq,
		indirectAt: t.Now.Add(PongTimeout), suspectAt: t.Now.Add(ProbeInterval - time.Millisecond),
	}
	t.Send(target, core.Ping{
		Seq: c.seq, From: c.self, KnownHosts: len(c.hosts), Updates: c.selectUpdates(target), Version: c.version,
	})
}

// pingSuspects pings every suspect host directly, so that it can refute the suspicion and is not declared dead because
// of a few lost messages.
func (c *component) pingSuspects(t *core.Turn) {
	for _, h := range slices.Sorted(maps.Keys(c.hosts)) {
		if c.hosts[h].State == core.MemberSuspect && h != c.probe.target {
			t.Send(h, core.Ping{From: c.self, KnownHosts: len(c.hosts), Updates: c.selectUpdates(h)})
		}
	}
}

// nextProbeTarget iterates over the hosts in random order and shuffles them again after each pass. This bounds the time
// until a host is probed again, which independent random choices would not. It returns "" if there is no host to probe.
func (c *component) nextProbeTarget() core.HostID {
	for range 2 {
		for len(c.probeOrder) > 0 {
			h := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if e := c.hosts[h]; e != nil && e.State < core.MemberLeft {
				return h
			}
		}
		c.probeOrder = slices.Sorted(maps.Keys(c.hosts))
		c.rand.Shuffle(len(c.probeOrder), func(i, j int) {
			c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
		})
	}
	return ""
}

func (c *component) checkProbeTimeouts(t *core.Turn) {
	if c.probe.seq == 0 {
		return
	}
	if core.Due(c.probe.indirectAt, t.Now) {
		c.probe.indirectAt = time.Time{}
		for _, h := range c.pickProxies() {
			t.Send(h, core.Ping{Seq: c.probe.seq, From: c.self, ProbeTarget: c.probe.target})
		}
	}
	if core.Due(c.probe.suspectAt, t.Now) {
		c.markSuspect(t, c.probe.target)
		c.probe = probe{}
	}
}

func (c *component) pickProxies() []core.HostID {
	var candidates []core.HostID
	for _, h := range slices.Sorted(maps.Keys(c.hosts)) {
		if h != c.probe.target && c.hosts[h].State == core.MemberAlive {
			candidates = append(candidates, h)
		}
	}
	c.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(indirectProbeCount, len(candidates))]
}

func (c *component) markSuspect(t *core.Turn, h core.HostID) {
	e := c.hosts[h]
	if e == nil || e.State != core.MemberAlive {
		return
	}
	e.State, e.stateSince, e.remainingSends = core.MemberSuspect, t.Now, c.maxSends()
	c.dirty = true
}

// expireStates declares hosts dead that were suspect for SuspectTimeout, and removes expired tombstones and relayed
// probes.
func (c *component) expireStates(t *core.Turn) {
	for h, e := range c.hosts {
		switch {
		case e.State == core.MemberSuspect && t.Now.Sub(e.stateSince) >= SuspectTimeout:
			e.State, e.stateSince, e.remainingSends = core.MemberDead, t.Now, c.maxSends()
			c.dirty = true
		case e.State >= core.MemberLeft && t.Now.Sub(e.stateSince) >= tombstoneTTL:
			delete(c.hosts, h)
		}
	}
	for seq, r := range c.relayedProbes {
		if core.Due(r.expires, t.Now) {
			delete(c.relayedProbes, seq)
		}
	}
}

// pingNextSeed pings a seed that is not a known host, or at longer intervals any seed, so that groups of hosts that
// formed around different seeds, or were isolated from each other, merge.
func (c *component) pingNextSeed(t *core.Turn) {
	if len(c.seeds) == 0 || (len(c.hosts) > 0 && !core.Due(c.nextSeedPing, t.Now)) {
		return
	}
	addr, missing := c.nextSeed()
	c.nextSeedPing = t.Now.Add(max(SeedInterval, time.Duration(len(c.hosts))*seedIntervalPerHost))
	if missing {
		c.nextSeedPing = t.Now.Add(missingSeedInterval)
	}
	if addr != c.self.Addr {
		c.seq++
		t.Emit(core.SendMessage{Addr: addr, Message: core.Ping{
			Seq: c.seq, From: c.self, KnownHosts: len(c.hosts), Updates: c.selectUpdates(""), Version: c.version,
		}})
	}
}

// nextSeed returns the next seed in turn. Seeds whose address belongs to no known host come first; missing is true for
// such a seed.
func (c *component) nextSeed() (addr netip.AddrPort, missing bool) {
	knownAddrs := map[netip.AddrPort]bool{c.self.Addr: true}
	for _, e := range c.hosts {
		knownAddrs[e.Addr] = knownAddrs[e.Addr] || e.State < core.MemberLeft
	}
	c.seedIndex++
	for i := range c.seeds {
		if s := c.seeds[(c.seedIndex+i)%len(c.seeds)]; !knownAddrs[s] {
			return s, true
		}
	}
	return c.seeds[c.seedIndex%len(c.seeds)], false
}

// maxSends returns how often a new state is piggybacked on messages.
func (c *component) maxSends() int { return retransmitMultiplier * bits.Len(uint(len(c.hosts)+1)) }

// selectUpdates returns the updates that were sent least often. The receiver's own state comes first if it is not
// alive, so that the receiver can refute it.
func (c *component) selectUpdates(to core.HostID) []core.Member {
	var pending []core.HostID
	for h, e := range c.hosts {
		if e.remainingSends > 0 && h != to {
			pending = append(pending, h)
		}
	}
	slices.SortFunc(pending, func(a, b core.HostID) int {
		if d := c.hosts[b].remainingSends - c.hosts[a].remainingSends; d != 0 {
			return d
		}
		if a < b {
			return -1
		}
		return 1
	})
	var updates []core.Member
	if e := c.hosts[to]; e != nil && e.State != core.MemberAlive {
		updates = append(updates, e.Member)
	}
	for _, h := range pending[:min(maxUpdatesPerMessage, len(pending))] {
		c.hosts[h].remainingSends--
		updates = append(updates, c.hosts[h].Member)
	}
	return updates
}

// sampleMembers returns random members for a host that knows fewer hosts than this one.
func (c *component) sampleMembers(m core.Ping) []core.Member {
	if m.ProbeTarget != "" || m.KnownHosts >= len(c.hosts) || m.From.State != core.MemberAlive {
		return nil
	}
	var members []core.Member
	for _, h := range slices.Sorted(maps.Keys(c.hosts)) {
		if e := c.hosts[h]; h != m.From.Host && e.State < core.MemberLeft {
			members = append(members, e.Member)
		}
	}
	c.rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(maxSampledMembers, len(members))]
}

// announceSelf sends this host's own state to all other hosts immediately.
func (c *component) announceSelf(t *core.Turn) {
	for _, h := range slices.Sorted(maps.Keys(c.hosts)) {
		if c.hosts[h].State < core.MemberLeft {
			t.Send(h, core.Ping{From: c.self})
		}
	}
	c.dirty = true
}

// publish sends the hosts that are alive or suspect to the other components and to the transport if they have changed.
func (c *component) publish(t *core.Turn) {
	if !c.dirty {
		return
	}
	c.dirty = false
	live := []core.Member{c.self}
	for _, e := range c.hosts {
		if e.State < core.MemberLeft {
			live = append(live, e.Member)
		}
	}
	slices.SortFunc(live, func(a, b core.Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	c.logChanges(t, live)
	t.Post(core.MembersChanged{Members: live})
	t.Emit(core.PeersChanged{Peers: live})
}

// logChanges logs which hosts have joined, restarted, left or died since its last call.
func (c *component) logChanges(t *core.Turn, live []core.Member) {
	boots := make(map[core.HostID]uint64, len(live))
	for i := range live {
		m := &live[i]
		boots[m.Host] = m.Boot
		if c.loggedBoots[m.Host] != m.Boot {
			t.LogDecision(core.Decision{
				Component: "member", Choice: "joined",
				Reason: fmt.Sprintf("boot %d, %d hosts live", m.Boot, len(live)), Target: string(m.Host),
			})
		}
	}
	for _, h := range slices.Sorted(maps.Keys(c.loggedBoots)) {
		if _, ok := boots[h]; !ok {
			t.LogDecision(core.Decision{
				Component: "member", Choice: "gone", Reason: fmt.Sprintf("%d hosts live", len(live)), Target: string(h),
			})
		}
	}
	c.loggedBoots = boots
}

func (c *component) nextDeadline() time.Time {
	next := c.nextProbe
	if c.probe.seq != 0 {
		next = core.Earlier(next, core.Earlier(c.probe.indirectAt, c.probe.suspectAt))
	}
	return next
}

func (c *component) gauges(set func(string, int64)) {
	alive := int64(1)
	for _, e := range c.hosts {
		if e.State == core.MemberAlive {
			alive++
		}
	}
	set("alive", alive)
	set("known", int64(len(c.hosts))+1)
}
