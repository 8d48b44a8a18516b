package dispatch

import (
	"time"

	"oleanderlever/core"
)

// A new dispatcher of a pool does not know the running attempts. If it placed attempts immediately, it would overload
// the engines, which it takes to be empty, so it first requests the claims of every entry host. It can't wait for entry
// hosts to send claims on their own: they detect the change at different times, and a host to which the previous
// dispatcher still responds does not detect it at all.
const (
	// claimsIdleThreshold is the time without requests after which another host may have dispatched the pool.
	claimsIdleThreshold = 500 * time.Millisecond
	// claimsTimeout bounds the wait for claims: a few round trips between data centres, and a small part of a stream's
	// target for the first token.
	claimsTimeout = 50 * time.Millisecond
	// callClaimsTimeout is the same for calls to a plain service, which have shorter targets. A host that is slower, or the lost
	// dispatcher itself, has few calls.
	callClaimsTimeout = 20 * time.Millisecond
)

// requestClaims requests claims from every entry host if another host may have dispatched the pool.
func (c *component) requestClaims(t *core.Turn, pl *pool) {
	previous := pl.lastRequest
	pl.lastRequest = t.Now
	if t.Now.Sub(previous) < claimsIdleThreshold {
		return
	}
	pl.restartCold(t.Now)
	if core.CountEntryHosts(c.members) < 2 {
		return
	}
	pl.awaitingClaimsFrom = map[core.HostID]bool{}
	for i := range c.members {
		if m := &c.members[i]; m.Entry {
			pl.awaitingClaimsFrom[m.Host] = true
			t.Send(m.Host, core.PlacementClaimsRequest{Pool: pl.id})
		}
	}
	if len(pl.awaitingClaimsFrom) > 0 {
		pl.claimsDeadline = t.Now.Add(claimsTimeout)
		if pl.engine == nil {
			pl.claimsDeadline = t.Now.Add(callClaimsTimeout)
		}
		c.nextSweep = core.Earlier(c.nextSweep, pl.claimsDeadline)
	}
}

// isAwaitingClaims reports whether placements must wait for outstanding claims.
func (p *pool) isAwaitingClaims(now time.Time) bool {
	return len(p.awaitingClaimsFrom) > 0 && now.Before(p.claimsDeadline)
}

// handleClaims adds an entry host's claims and places queued attempts once all hosts have responded.
func (c *component) handleClaims(t *core.Turn, from core.HostID, m core.PlacementClaimsResponse) {
	pl := c.pool(t, m.Pool)
	for i := range m.Claims {
		c.addClaim(t, from, m.Claims[i])
	}
	if len(pl.awaitingClaimsFrom) == 0 {
		return
	}
	delete(pl.awaitingClaimsFrom, from)
	if len(pl.awaitingClaimsFrom) == 0 {
		c.placeQueued(t, pl)
	}
}
