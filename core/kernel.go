package core

import (
	"slices"
	"time"
)

// Tick is the event that a deadline has passed.
type Tick struct{}

// Started is the first event that a kernel handles.
type Started struct{}

// Kernel runs the components of one host.
type Kernel struct {
	self       HostID
	names      []string
	components []Component
	queue      []Event
	actions    []Action
}

// maxEventsPerStep limits the events that one external event may cause; exceeding it means that components post to
// each other in a loop.
const maxEventsPerStep = 1 << 20

// New creates a kernel from the given plug-ins, or from all registered ones if none are given.
func New(env Env, plugins ...Plugin) *Kernel {
	if len(plugins) == 0 {
		plugins = Plugins()
	}
	plugins = slices.Clone(plugins)
	slices.SortFunc(plugins, comparePlugins)
	k := &Kernel{self: env.Self}
	for _, p := range plugins {
		k.names = append(k.names, p.Name)
		k.components = append(k.components, p.New(env))
	}
	return k
}

// Step passes an event to the components, then the events that they post, and returns the emitted actions in order.
// It is deterministic: the same events at the same times produce the same actions.
func (k *Kernel) Step(now time.Time, ev Event) []Action {
	k.actions = nil
	k.queue = append(k.queue[:0], ev)
	t := &Turn{Now: now, kernel: k}
	for i := 0; i < len(k.queue); i++ {
		if i == maxEventsPerStep {
			panic("core: too many events in one step; components post to each other in a loop")
		}
		for p := range k.components {
			k.components[p].Handle(t, k.queue[i])
		}
	}
	clear(k.queue)
	return k.actions
}

// NextDeadline returns when the kernel needs a Tick, or the zero time if no component has a deadline.
func (k *Kernel) NextDeadline() time.Time {
	var next time.Time
	for i := range k.components {
		if k.components[i].NextDeadline == nil {
			continue
		}
		next = Earlier(next, k.components[i].NextDeadline())
	}
	return next
}

// Gauges reports the gauges of all components as "component.gauge".
func (k *Kernel) Gauges(set func(name string, value int64)) {
	for i := range k.components {
		if k.components[i].Gauges == nil {
			continue
		}
		k.components[i].Gauges(func(name string, value int64) { set(k.names[i]+"."+name, value) })
	}
}

// Earlier returns the earlier of two times; the zero time means never.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Due reports whether a deadline is set and has passed.
func Due(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// clockDriftDivisor shortens a lease by 1/20 for its holder, so that a holder whose clock is up to 5% slower than the
// grantor's still stops in time.
const clockDriftDivisor = 20

// HolderLeaseTime returns how long the holder may use a lease of the given duration.
func HolderLeaseTime(lease time.Duration) time.Duration { return lease - lease/clockDriftDivisor }

// Turn is the context of one call of Step for a component.
type Turn struct {
	Now    time.Time
	kernel *Kernel
}

// Post queues an event for all components in the same step.
func (t *Turn) Post(ev Event) { t.kernel.queue = append(t.kernel.queue, ev) }

// Emit adds an action to the result of the step.
func (t *Turn) Emit(action Action) { t.kernel.actions = append(t.kernel.actions, action) }

// Send sends a message to a host; a message to this host is handled in the same step.
func (t *Turn) Send(to HostID, m Message) {
	if to == "" {
		return
	}
	if to == t.kernel.self {
		t.Post(MessageReceived{From: to, Message: m})
		return
	}
	t.Emit(SendMessage{To: to, Message: m})
}

// LogDecision logs a routing or placement decision.
func (t *Turn) LogDecision(d Decision) { t.Emit(LogDecision{Decision: d}) }

// SaveSnapshot collects the replicated state of all components.
func (t *Turn) SaveSnapshot() *Snapshot {
	s := &Snapshot{}
	for i := range t.kernel.components {
		if t.kernel.components[i].Save != nil {
			t.kernel.components[i].Save(s)
		}
	}
	return s
}

// LoadSnapshot replaces the replicated state of all components.
func (t *Turn) LoadSnapshot(s *Snapshot) {
	for i := range t.kernel.components {
		if t.kernel.components[i].Load != nil {
			t.kernel.components[i].Load(t, s)
		}
	}
}
