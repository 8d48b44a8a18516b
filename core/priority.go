package core

// Priority ranks requests that compete for a pool. It is the configured number plus one, so that the zero value means that
// none is set, as in messages of hosts that don't know priorities.
type Priority uint8

// PriorityLevels is the number of priorities; their numbers are 0, the most urgent, to PriorityLevels-1.
const PriorityLevels = 10

// NewPriority returns the priority with a number; a number out of range is clamped.
func NewPriority(number int) Priority {
	return Priority(min(max(number, 0), PriorityLevels-1) + 1)
}

// IsSet reports whether a priority is set.
func (p Priority) IsSet() bool { return p > 0 }

// Number returns the number of a priority that is set, from 0, the most urgent, to PriorityLevels-1.
func (p Priority) Number() int { return min(max(int(p), 1), PriorityLevels) - 1 }

// RequestPriority returns the priority of a request of an account on a route. That of the account overrides that of the route.
func RequestPriority(route *Route, account *Account) Priority {
	if account.Priority != nil {
		return NewPriority(*account.Priority)
	}
	return NewPriority(route.Priority)
}

// PriorityRange returns the most and the least urgent priority that requests in a pool can have. Both are unset if no route
// and no model leads to the pool.
func (c *Config) PriorityRange(pool PoolID) (most, least Priority) {
	add := func(p Priority) {
		if !most.IsSet() || p < most {
			most = p
		}
		least = max(least, p)
	}
	for i := range c.Routes {
		if c.Routes[i].leadsTo(pool) {
			c.addPriorities(&c.Routes[i], c.Routes[i].Accounts, add)
		}
	}
	if m, ok := c.Model(pool); ok {
		c.addPriorities(&Route{}, m.Accounts, add)
	}
	return most, least
}

// addPriorities adds the priorities of a route's requests, where the list of accounts may use the route.
func (c *Config) addPriorities(route *Route, accounts []AccountID, add func(Priority)) {
	if route.Public {
		add(NewPriority(route.Priority))
		return
	}
	for i := range c.Accounts {
		if AllowsAccount(accounts, c.Accounts[i].ID) {
			add(RequestPriority(route, &c.Accounts[i]))
		}
	}
}

// leadsTo reports whether a route may send requests to a pool.
func (r *Route) leadsTo(pool PoolID) bool {
	for _, p := range r.weightedPools() {
		if p.Pool == pool && p.Weight > 0 {
			return true
		}
	}
	return false
}
