package entry

import "oleanderlever/core"

// acquireQuota asks for the tokens that a request may use, unless its account needs none.
func (c *component) acquireQuota(t *core.Turn, r *request) {
	r.stage = stageQuota
	c.schedule(r)
	if r.account.ID == "" || r.account.Unlimited || r.cost == 0 {
		c.quotaAcquired(t, r.ID)
		return
	}
	t.Post(core.AcquireQuota{Request: r.ID, Account: r.account.ID, Cost: r.cost, MaxWait: r.maxQuotaWait()})
}

func (c *component) quotaAcquired(t *core.Turn, id core.RequestID) {
	r := c.requests[id]
	if r == nil || r.stage != stageQuota {
		return
	}
	r.charged = r.cost > 0 && r.account.ID != ""
	if r.recordKey != "" {
		r.stage = stageIdempotency
		c.schedule(r)
		t.Post(core.AcquireIdempotencyKey{Request: r.ID, Attempt: r.recordAttempt(), Key: r.recordKey, ContentHash: r.ContentHash})
		return
	}
	c.startAttempt(t, r)
}

func (c *component) idempotencyKeyAcquired(t *core.Turn, id core.RequestID) {
	r := c.requests[id]
	if r == nil || r.stage != stageIdempotency {
		return
	}
	if r.disconnected {
		c.refuse(t, r, core.Fail(core.KindCancelled, "the caller disconnected"))
		return
	}
	c.startAttempt(t, r)
}

func (c *component) idempotencyKeyDenied(t *core.Turn, e core.IdempotencyKeyDenied) {
	r := c.requests[e.Request]
	if r == nil || r.stage != stageIdempotency {
		return
	}
	// A denied request must not change the record.
	r.recordKey = ""
	if e.Failure != nil {
		c.refuse(t, r, e.Failure)
		return
	}
	t.LogDecision(core.Decision{Component: "entry", Choice: "stored", Reason: "the call was already executed", Request: r.ID, Account: r.account.ID, Pool: r.pool})
	t.Emit(core.SendStoredResponse{Request: r.ID, Response: *e.StoredResponse})
	c.remove(t, r)
}
