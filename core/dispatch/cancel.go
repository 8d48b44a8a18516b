package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"oleanderlever/core"
)

// cancelKey identifies the cancel of an attempt at one upstream.
type cancelKey struct {
	attempt core.AttemptID
	addr    netip.AddrPort
}

// pendingCancel is a cancel that the engine has not confirmed.
type pendingCancel struct {
	resendAt time.Time
	expires  time.Time
}

func (c *component) startCancel(t *core.Turn, a core.AttemptID, addr netip.AddrPort) {
	k := cancelKey{attempt: a, addr: addr}
	if c.cancels[k] != nil {
		return
	}
	c.cancels[k] = &pendingCancel{resendAt: t.Now.Add(cancelResendInterval), expires: t.Now.Add(cancelTimeout)}
	t.Emit(core.CancelAttempt{Attempt: a, Addr: addr})
	c.scheduleSweep(t)
}

func (c *component) handleCancelEnded(e core.CancelEnded) {
	if e.OK {
		delete(c.cancels, cancelKey{attempt: e.Attempt, addr: e.Addr})
	}
}

func (c *component) resendCancels(t *core.Turn) {
	for k, pending := range c.cancels {
		if core.Due(pending.expires, t.Now) {
			delete(c.cancels, k)
		}
	}
	keys := slices.SortedFunc(maps.Keys(c.cancels), func(a, b cancelKey) int {
		if order := a.attempt.Compare(b.attempt); order != 0 {
			return order
		}
		return a.addr.Compare(b.addr)
	})
	for _, k := range keys {
		if pending := c.cancels[k]; core.Due(pending.resendAt, t.Now) {
			pending.resendAt = t.Now.Add(cancelResendInterval)
			t.Emit(core.CancelAttempt{Attempt: k.attempt, Addr: k.addr})
		}
	}
}
