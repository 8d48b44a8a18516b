package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

// memberGracePeriod is how long after a reservation its entry host may be missing from the member table, for instance
// because it has just started.
const memberGracePeriod = 5 * time.Second

// hasHostStopped reports whether the entry host process that runs an attempt has ended: its host has left or restarted.
// If the reservation has a later boot than the member table, the member table is out of date.
func (c *component) hasHostStopped(r *reservation, now time.Time) bool {
	boot := c.bootOf(r.entryHost)
	if boot == 0 {
		return now.Sub(r.reservedAt) >= memberGracePeriod
	}
	return boot > r.request.Boot
}

// bootOf returns the boot of a member, or zero if the host is not in the member table.
func (c *component) bootOf(host core.HostID) uint64 {
	i, ok := slices.BinarySearchFunc(c.members, host, func(m core.Member, host core.HostID) int {
		return cmp.Compare(m.Host, host)
	})
	if !ok {
		return 0
	}
	return c.members[i].Boot
}

// addClaim adds the reservation of a running attempt that another dispatcher placed.
func (c *component) addClaim(t *core.Turn, from core.HostID, m core.PlacementClaim) {
	pl := c.pool(t, m.Request.Pool)
	if pl.reservations[m.Request.Attempt] != nil {
		return
	}
	r := &reservation{request: m.Request, entryHost: from, grant: m.Grant, memory: pl.memoryNeeded(&m.Request), claimed: true}
	if !m.Decoding && m.Grant.Prefill != "" {
		r.prefillTokens = m.Request.PromptTokens
	}
	pl.reserve(r, t.Now)
}

func (c *component) handleRelease(t *core.Turn, from core.HostID, m core.PlacementRelease) {
	t.Send(from, core.PlacementReleaseAck{Attempt: m.Attempt, PrefillOnly: m.PrefillOnly})
	pl := c.pools[m.Pool]
	if pl == nil {
		return
	}
	r := pl.reservations[m.Attempt]
	if r == nil {
		pl.queue.Remove(m.Attempt)
		return
	}
	if u := pl.grantedUpstream(r, m.FailedUpstream); u != nil {
		reason := "an attempt at the upstream failed"
		if m.Misdirected {
			u.misdirected, u.misdirectedAt, reason = true, t.Now, "the upstream has a different identity or role than announced"
		} else {
			u.recordFailure(t.Now)
			if c.localPlacement && r.request.PlainService {
				c.reportFailure(t, pl, u, r.entryHost)
			}
		}
		pl.refresh(u, t.Now, c.config.Policy(pl.id))
		t.LogDecision(core.Decision{
			Component: "dispatch", Choice: "failure", Reason: reason, Request: m.Attempt.Request, Attempt: m.Attempt.Number,
			Pool: m.Pool, Target: string(m.FailedUpstream), Score: float64(u.consecutiveFailures),
		})
	}
	c.recordRefusal(t, pl, r, &m)
	if m.PrefillOnly {
		if m.FailedUpstream == "" && m.RefusedBy == "" && !m.Unused {
			// The time of a prefill that hung or was refused says nothing about how long prompts take.
			pl.recordPrefillTime(r, t.Now)
			recordSuccess(pl.prefillUpstream(r))
		}
		pl.releasePrefill(r, t.Now)
		c.placeQueued(t, pl)
		return
	}
	if m.FirstTokenLatency > 0 {
		pl.latency.addFirstToken(m.FirstTokenLatency)
	}
	if m.FailedUpstream == "" && m.RefusedBy == "" && !m.Cancel && !m.Unused {
		recordSuccess(pl.decodeUpstream(r))
		if r.request.PlainService {
			c.callEnded(t, pl, r, cmp.Or(m.CallTime, m.FirstTokenLatency))
		}
	}
	r.refused = m.RefusedBy != "" || m.Unused
	c.releaseAndCancel(t, pl, r, m.Cancel)
	c.placeQueued(t, pl)
}

const (
	// An attempt's reservation is released if unlistedThreshold consecutive lists of active attempts from its entry
	// host lack it and it is at least minUnlistedAge old.
	unlistedThreshold = 2
	minUnlistedAge    = 5 * time.Second
)

// handleActiveAttempts releases reservations of attempts that the entry host no longer lists, and asks for claims of
// the listed attempts without a reservation; the entry host claims those that are running.
func (c *component) handleActiveAttempts(t *core.Turn, from core.HostID, m core.ActiveAttempts) {
	pl := c.pool(t, m.Pool)
	listed := map[core.AttemptID]bool{}
	var unreserved []core.AttemptID
	for _, a := range m.Attempts {
		listed[a] = true
		if pl.reservations[a] == nil {
			unreserved = append(unreserved, a)
		}
	}
	for _, a := range sortedAttempts(pl.reservations) {
		r := pl.reservations[a]
		if r.entryHost != from {
			continue
		}
		r.unlistedCount++
		if listed[a] {
			r.unlistedCount = 0
		}
		if r.unlistedCount >= unlistedThreshold && t.Now.Sub(r.reservedAt) >= minUnlistedAge {
			c.releaseAndCancel(t, pl, r, true)
		}
	}
	if len(unreserved) > 0 {
		t.Send(from, core.UnknownAttempts{Attempts: unreserved})
	}
	c.placeQueued(t, pl)
}

func recordSuccess(u *upstream) {
	if u != nil {
		u.recordSuccess()
	}
}

// releaseAndCancel releases a reservation and, if withCancel is set, cancels the attempt on its engines.
func (c *component) releaseAndCancel(t *core.Turn, pl *pool, r *reservation, withCancel bool) {
	pl.release(r, t.Now)
	if !withCancel || r.request.PlainService {
		return
	}
	c.startCancel(t, r.request.Attempt, r.grant.DecodeAddr)
	if r.grant.Prefill != "" && r.grant.PrefillAddr != r.grant.DecodeAddr {
		c.startCancel(t, r.request.Attempt, r.grant.PrefillAddr)
	}
}

func sortedAttempts(m map[core.AttemptID]*reservation) []core.AttemptID {
	return slices.SortedFunc(maps.Keys(m), core.AttemptID.Compare)
}
