package harness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"oleanderlever/core"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Hosts is the number of hosts; the first Replicas of them form the replica set.
	Hosts    int
	Replicas int
	// LossRate and DuplicateRate are the fractions of messages that are lost and delivered twice.
	LossRate      float64
	DuplicateRate float64
	// MinDelay and MaxDelay are the limits of the random message delay; a wide range reorders messages.
	MinDelay time.Duration
	MaxDelay time.Duration
	// SyncTime is the duration of a disk sync.
	SyncTime time.Duration
	// Plugins are the plug-ins of each kernel; empty means all registered ones.
	Plugins []core.Plugin
	Limits  core.Limits
	// Disks is the number of hosts with a data directory if it is greater than Replicas.
	Disks int
	// AdjustEnv changes the environment of a kernel before each start; nil leaves it unchanged.
	AdjustEnv func(env *core.Env)
	// ClockRate is the rate of a host's clock, where 1 is accurate; nil means that all clocks are accurate.
	ClockRate func(h core.HostID) float64
}

// Host is a host of a run.
type Host struct {
	ID     core.HostID
	Kernel *core.Kernel
	Up     bool
	// Disk is empty on a host without a data directory.
	Disk   core.DiskID
	Stored core.StoredState

	unsynced  []core.Persist
	boot      uint64
	diskCount int
	// generation grows with each start and crash, so that events for an earlier process are dropped.
	generation int
	nextTick   time.Time
	clockRate  float64
	// frozenUntil is when a frozen process continues.
	frozenUntil time.Time
	// DiskFull makes all writes fail.
	DiskFull bool
	// writeFailed is set by a failed write until a complete one succeeds.
	writeFailed bool
}

// Run is a set of kernels that exchange messages in virtual time.
type Run struct {
	Now   time.Time
	Rand  *rand.Rand
	Hosts []*Host
	// Partitioned reports whether messages from one host to another are lost; nil means never.
	Partitioned func(from, to core.HostID) bool
	// Lost reports whether a message is lost, in addition to LossRate; nil means never.
	Lost func(from *Host, m core.SendMessage) bool
	// OnAction is called for each action that is neither a message nor a write.
	OnAction func(h *Host, a core.Action)
	// OnSend is called for each message that is sent.
	OnSend func(from *Host, m core.SendMessage)

	config  Config
	events  events
	lastSeq uint64
}

// event is a scheduled callback; if host is set, it runs only while the host is in the same generation.
type event struct {
	at         time.Time
	seq        uint64
	host       *Host
	generation int
	callback   func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface; events at the same time run in the order in which they were scheduled.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// StartTime is the time at which each run starts.
var StartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New creates a run and starts its hosts.
func New(c Config) *Run {
	r := &Run{Now: StartTime, Rand: rand.New(rand.NewPCG(c.Seed, 1)), config: c}
	if r.config.Limits == (core.Limits{}) {
		r.config.Limits = core.DefaultLimits()
	}
	for i := range c.Hosts {
		h := &Host{ID: HostID(i), clockRate: 1}
		if c.ClockRate != nil {
			h.clockRate = c.ClockRate(h.ID)
		}
		if i < max(c.Replicas, c.Disks) {
			h.replaceDisk()
		}
		r.Hosts = append(r.Hosts, h)
	}
	for _, h := range r.Hosts {
		r.Boot(h)
	}
	return r
}

// HostID returns the ID of the host with the given index.
func HostID(i int) core.HostID { return core.HostID(fmt.Sprintf("host-%02d", i+1)) }

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7002)
}

func (h *Host) replaceDisk() {
	h.diskCount++
	h.Disk = core.DiskID(fmt.Sprintf("%s-disk-%d", h.ID, h.diskCount))
	h.Stored = core.StoredState{}
}

// AddHost starts an additional host with an empty data directory and a new address.
func (r *Run) AddHost() *Host {
	h := &Host{ID: HostID(len(r.Hosts)), clockRate: 1}
	h.replaceDisk()
	r.Hosts = append(r.Hosts, h)
	r.Boot(h)
	return h
}

func (r *Run) index(h *Host) int { return slices.Index(r.Hosts, h) }

// Boot starts a host with the contents of its data directory.
func (r *Run) Boot(h *Host) {
	h.boot++
	h.generation++
	h.Up = true
	h.unsynced, h.writeFailed = nil, false
	h.nextTick, h.frozenUntil = time.Time{}, time.Time{}
	env := core.Env{
		Self: h.ID, Disk: h.Disk, DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", r.index(h)%4+1)), Addr: hostAddr(r.index(h)),
		Boot: h.boot, Rand: rand.New(rand.NewPCG(r.config.Seed, uint64(r.index(h))<<16+h.boot)),
		StoredState: copyStored(h.Stored), Limits: r.config.Limits, RetryBudget: core.DefaultRetryBudget(), Entry: true,
	}
	for i := range r.config.Hosts {
		env.Seeds = append(env.Seeds, hostAddr(i))
	}
	for i := range r.config.Replicas {
		env.InitialReplicas = append(env.InitialReplicas, HostID(i))
	}
	if r.config.AdjustEnv != nil {
		r.config.AdjustEnv(&env)
	}
	h.Kernel = core.New(env, r.config.Plugins...)
	r.step(h, core.Started{})
}

// copyStored copies the stored state, so that a kernel cannot change the contents of the data directory.
func copyStored(s core.StoredState) core.StoredState {
	s.Entries = slices.Clone(s.Entries)
	return s
}

// PostMembers tells all hosts which hosts are alive: all but the given ones. Hosts with a data directory serve no callers.
func (r *Run) PostMembers(down ...*Host) {
	var m core.MembersChanged
	for _, h := range r.Hosts {
		if !slices.Contains(down, h) {
			m.Members = append(m.Members, core.Member{Host: h.ID, Boot: 1, State: core.MemberAlive, Disk: h.Disk, Entry: h.Disk == ""})
		}
	}
	for _, h := range r.Hosts {
		r.Post(h, m)
	}
}

// Crash stops a host; a random number of its oldest unsynced writes have reached the disk.
func (r *Run) Crash(h *Host) {
	if !h.Up {
		return
	}
	h.Up = false
	h.generation++
	for _, p := range h.unsynced[:r.Rand.IntN(len(h.unsynced)+1)] {
		h.write(p)
	}
	h.unsynced = nil
}

// LoseDisk crashes a host and gives it an empty data directory.
func (r *Run) LoseDisk(h *Host) {
	r.Crash(h)
	h.replaceDisk()
}

// Post passes an event to a host's kernel now, if the host is up.
func (r *Run) Post(h *Host, ev core.Event) {
	if h.Up {
		r.step(h, ev)
	}
}

// After schedules a callback.
func (r *Run) After(d time.Duration, callback func()) {
	r.schedule(nil, d, callback)
}

// RunFor advances the time by d and runs the events that are due.
func (r *Run) RunFor(d time.Duration) {
	end := r.Now.Add(d)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.Now = e.at
		if e.host == nil || (e.host.Up && e.host.generation == e.generation) {
			e.callback()
		}
	}
	r.Now = end
}

// RunUntil advances the time until the condition is true or the timeout has passed, and returns the condition.
func (r *Run) RunUntil(timeout time.Duration, condition func() bool) bool {
	const interval = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += interval {
		if condition() {
			return true
		}
		r.RunFor(interval)
	}
	return condition()
}

func (r *Run) schedule(h *Host, d time.Duration, callback func()) {
	r.lastSeq++
	e := event{at: r.Now.Add(d), seq: r.lastSeq, host: h, callback: callback}
	if h != nil {
		e.generation = h.generation
	}
	heap.Push(&r.events, e)
}

// Freeze suspends a host's process for a while, as a debugger or an overloaded machine would; its events wait.
func (r *Run) Freeze(h *Host, d time.Duration) { h.frozenUntil = r.Now.Add(d) }

func (r *Run) step(h *Host, ev core.Event) {
	if r.Now.Before(h.frozenUntil) {
		r.schedule(h, h.frozenUntil.Sub(r.Now), func() { r.step(h, ev) })
		return
	}
	for _, a := range h.Kernel.Step(h.localTime(r.Now), ev) {
		r.perform(h, a)
	}
	r.scheduleTick(h)
}

// localTime returns the time on a host's own clock.
func (h *Host) localTime(now time.Time) time.Time {
	if h.clockRate == 1 {
		return now
	}
	return StartTime.Add(time.Duration(float64(now.Sub(StartTime)) * h.clockRate))
}

// durationUntil returns the time until a host's own clock shows t.
func (h *Host) durationUntil(now, t time.Time) time.Duration {
	if h.clockRate == 1 {
		return t.Sub(now)
	}
	return time.Duration(float64(t.Sub(h.localTime(now)))/h.clockRate) + 1
}

// scheduleTick schedules the host's next tick.
func (r *Run) scheduleTick(h *Host) {
	next := h.Kernel.NextDeadline()
	if next.IsZero() || (!h.nextTick.IsZero() && !next.Before(h.nextTick) && h.nextTick.After(h.localTime(r.Now))) {
		return
	}
	h.nextTick = next
	r.schedule(h, max(0, h.durationUntil(r.Now, next)), func() {
		if !h.nextTick.Equal(next) {
			return
		}
		h.nextTick = time.Time{}
		if core.Due(h.Kernel.NextDeadline(), h.localTime(r.Now)) {
			r.step(h, core.Tick{})
			return
		}
		r.scheduleTick(h)
	})
}

func (r *Run) perform(h *Host, a core.Action) {
	switch a := a.(type) {
	case core.SendMessage:
		r.send(h, a)
	case core.Persist:
		h.unsynced = append(h.unsynced, a)
		r.schedule(h, r.config.SyncTime, func() { r.sync(h, a) })
	case core.SaveOrigins:
		r.schedule(h, r.config.SyncTime, func() {
			if a.Complete {
				h.Stored.Notes.Origins = nil
			}
			h.Stored.Notes.Origins = append(h.Stored.Notes.Origins, a.Origins...)
		})
	case core.SaveQuarantine:
		r.schedule(h, r.config.SyncTime, func() { h.Stored.Notes.Quarantine = a.List })
	default:
		if r.OnAction != nil {
			r.OnAction(h, a)
		}
	}
}

func (r *Run) send(from *Host, m core.SendMessage) {
	if r.OnSend != nil {
		r.OnSend(from, m)
	}
	to := r.receiver(m)
	if to == nil || (r.Lost != nil && r.Lost(from, m)) || (r.Partitioned != nil && r.Partitioned(from.ID, to.ID)) || r.Rand.Float64() < r.config.LossRate {
		return
	}
	r.deliver(from, to, m.Message)
	if r.Rand.Float64() < r.config.DuplicateRate {
		r.deliver(from, to, m.Message)
	}
}

func (r *Run) receiver(m core.SendMessage) *Host {
	for i, h := range r.Hosts {
		if h.ID == m.To || (m.Addr.IsValid() && m.Addr == hostAddr(i)) {
			return h
		}
	}
	return nil
}

// deliver delivers a message to the host if it is up on arrival, even if it has restarted since the message was sent.
func (r *Run) deliver(from, to *Host, m core.Message) {
	delay := r.config.MinDelay
	if jitter := r.config.MaxDelay - r.config.MinDelay; jitter > 0 {
		delay += time.Duration(r.Rand.Int64N(int64(jitter)))
	}
	r.schedule(nil, delay, func() {
		if to.Up {
			r.step(to, core.MessageReceived{From: from.ID, Message: m})
		}
	})
}

func (r *Run) sync(h *Host, p core.Persist) {
	h.unsynced = slices.DeleteFunc(h.unsynced, func(q core.Persist) bool { return q.Seq == p.Seq })
	if h.DiskFull || (h.writeFailed && !p.Complete) {
		h.writeFailed = true
		r.step(h, core.DiskFailed{Reason: "the disk is full"})
		return
	}
	h.writeFailed = false
	h.write(p)
	r.step(h, core.Persisted{Seq: p.Seq})
}

// write applies a write to the contents of the data directory.
func (h *Host) write(p core.Persist) {
	h.Stored.Hard = p.Hard
	if p.Complete {
		h.Stored.Snapshot, h.Stored.Entries = nil, nil
	}
	if p.Snapshot != nil {
		h.Stored.Snapshot = p.Snapshot
		h.Stored.Entries = nil
	}
	base := core.LogIndex(0)
	if h.Stored.Snapshot != nil {
		base = h.Stored.Snapshot.Index
	}
	for _, e := range p.Entries {
		if e.Index > base {
			h.Stored.Entries = append(h.Stored.Entries[:e.Index-base-1], e)
		}
	}
}
