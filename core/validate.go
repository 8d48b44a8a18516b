package core

import "time"

// Limits on the values that a message from another host may carry.
const (
	maxTokenCount = Tokens(1 << 40)
	maxListLength = 1 << 17
	maxDuration   = 24 * time.Hour
)

// ValidateMessage returns a KindBadRequest error for a decoded message whose fields are out of range.
func ValidateMessage(m Message) error {
	switch m := m.(type) {
	case Ping:
		return validateMembers(append(m.Updates, m.From))
	case Pong:
		return validateMembers(append(m.Updates, m.From))
	case AppendRequest:
		return validateEntries(m.PrevIndex, m.Entries)
	case CommandRequest:
		if err := ValidateName("command.id", string(m.Command.ID)); err != nil {
			return err
		}
		return m.Command.Change.Validate()
	case LeaseGrant:
		if m.Duration <= 0 || m.Duration > maxDuration || m.RenewAfter <= 0 || m.RenewAfter > maxDuration {
			return Fail(KindBadRequest, "lease grant: duration or renewal time is out of range")
		}
		return validateConfig(m.Changes, m.Config)
	case ConfigUpdate:
		return validateConfig(m.Changes, m.Config)
	case InstallSnapshotRequest:
		return m.Snapshot.Config.validateEvacuations()
	case IdempotencyRequest:
		return m.Record.validate()
	case QuotaRequest:
		return m.validate()
	case QuotaGrant:
		return m.validate()
	case PlacementRequest:
		return m.validate()
	case PlacementClaim:
		if err := m.Grant.validate(); err != nil {
			return err
		}
		return m.Request.validate()
	case PlacementGrant:
		return m.validate()
	case PlacementRelease:
		return m.validate()
	case UpstreamUpdate:
		return m.validate()
	case RoleChangeRequest:
		return m.Assignment.validate()
	case UpstreamList:
		return m.validate()
	case AssignmentMismatch:
		return m.Announcement.Validate()
	case Gossip:
		return m.validate()
	case QuarantineList:
		return m.validate()
	case StreamOrigin:
		return m.validate()
	case OriginReply:
		return m.Version.validate()
	case UpstreamLimits:
		return m.validate()
	}
	return nil
}

func validateChanges(changes []Change) error {
	for i := range changes {
		if err := changes[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

func validateConfig(changes []Change, config *Config) error {
	if config != nil {
		if err := config.validateEvacuations(); err != nil {
			return err
		}
	}
	return validateChanges(changes)
}

func validateMembers(list []Member) error {
	for i := range list {
		if err := ValidateName("member.host", string(list[i].Host)); err != nil {
			return err
		}
		if !list[i].Addr.IsValid() || list[i].State < MemberAlive || list[i].State > MemberDead {
			return Fail(KindBadRequest, "member %s: address or state is out of range", list[i].Host)
		}
	}
	return nil
}

func validateEntries(prevIndex LogIndex, list []Entry) error {
	for i := range list {
		if list[i].Index != prevIndex+LogIndex(i)+1 {
			return Fail(KindBadRequest, "entry %d does not follow %d", list[i].Index, prevIndex)
		}
		if list[i].Kind < EntryNoop || list[i].Kind > EntryReplicaSet {
			return Fail(KindBadRequest, "unknown entry kind %d", list[i].Kind)
		}
	}
	return nil
}

func (r *IdempotencyRecord) validate() error {
	if r.Key == "" || r.State < IdempotencyIntent || r.State > IdempotencyNotExecuted {
		return Fail(KindBadRequest, "idempotency record: key is empty or state is out of range")
	}
	return ValidateName("once.host", string(r.Host))
}

func (m *QuotaRequest) validate() error {
	for _, item := range m.Items {
		counts := []Tokens{item.Required, item.Requested, item.Refund}
		if len(item.Settlements) > maxListLength {
			return Fail(KindBadRequest, "quota: too many settlements")
		}
		for _, s := range item.Settlements {
			counts = append(counts, s.Spent, s.Unused)
		}
		for _, n := range counts {
			if n < 0 || n > maxTokenCount {
				return Fail(KindBadRequest, "quota: %d tokens are out of range", n)
			}
		}
	}
	return nil
}

func (m *QuotaGrant) validate() error {
	for _, item := range m.Items {
		if item.Granted < 0 || item.Granted > maxTokenCount {
			return Fail(KindBadRequest, "quota: %d tokens are out of range", item.Granted)
		}
	}
	return nil
}

func (m *PlacementRequest) validate() error {
	if m.Attempt.Request == "" || m.Weight < 1 || m.Weight > maxAccountWeight {
		return Fail(KindBadRequest, "placement request: attempt or weight is out of range")
	}
	if m.PromptTokens < 0 || m.PromptTokens > maxTokenCount || m.OutputTokens < 0 || m.OutputTokens > maxTokenCount || len(m.PrefixHashes) > maxListLength {
		return Fail(KindBadRequest, "placement request: prompt, output or prefix hashes are out of range")
	}
	if err := validateRegions("place.regions", m.Regions); err != nil {
		return err
	}
	if m.Remaining < 0 || m.Remaining > maxDuration || m.Waited < 0 || m.Waited > maxDuration {
		return Fail(KindBadRequest, "placement request: remaining or waited time is out of range")
	}
	if m.Priority > PriorityLevels || m.Target < 0 || m.Target > maxDuration || m.Patience < 0 || m.Patience > maxDuration ||
		m.CallerRemaining < 0 || m.CallerRemaining > maxDuration {
		return Fail(KindBadRequest, "placement request: priority, target, patience or the caller's time is out of range")
	}
	return ValidateName("place.pool", string(m.Pool))
}

func (m *PlacementGrant) validate() error {
	if len(m.PrefillDataCentre) > maxNameBytes || len(m.DecodeDataCentre) > maxNameBytes {
		return Fail(KindBadRequest, "placement grant: the name of a data centre is too long")
	}
	if m.Waited < 0 || m.Waited > maxDuration {
		return Fail(KindBadRequest, "placement grant: the waited time is out of range")
	}
	return nil
}

func (m *PlacementRelease) validate() error {
	if m.CallTime < 0 || m.CallTime > maxDuration {
		return Fail(KindBadRequest, "placement release: the time of the call is out of range")
	}
	return nil
}

func (m *UpstreamUpdate) validate() error {
	if m.Announcement != nil {
		return m.Announcement.Validate()
	}
	if m.Report != nil {
		return m.Report.Validate()
	}
	return Fail(KindBadRequest, "upstream update: has neither an announcement nor a report")
}

func (m *Gossip) validate() error {
	if m.Item.Hops < 0 || m.Item.Hops >= MaxGossipHops || m.Item.ID.Number == 0 {
		return Fail(KindBadRequest, "gossip: hops or number is out of range")
	}
	if err := ValidateName("gossip.host", string(m.Item.ID.Host)); err != nil {
		return err
	}
	return m.Item.Observation.validate()
}

func (o *Observation) validate() error {
	set := 0
	for _, isSet := range []bool{o.UpstreamFailure != nil, o.PromptCrash != nil, o.PromptSound != nil, o.PromptQuarantine != nil, o.UpstreamLimit != nil, o.UpstreamLeaving != nil, o.UpstreamRefusal != nil, o.PoolPressure != nil, o.RequestCrash != nil, o.RequestSound != nil, o.RequestQuarantine != nil} {
		if isSet {
			set++
		}
	}
	switch {
	case set != 1:
		return Fail(KindBadRequest, "gossip: has %d known observations", set)
	case o.UpstreamFailure != nil:
		return o.UpstreamFailure.validate()
	case o.PromptCrash != nil:
		return o.PromptCrash.validate()
	case o.PromptQuarantine != nil:
		return o.PromptQuarantine.validate()
	case o.UpstreamLimit != nil:
		return o.UpstreamLimit.validate()
	case o.UpstreamRefusal != nil:
		return o.UpstreamRefusal.validate()
	case o.UpstreamLeaving != nil:
		return o.UpstreamLeaving.Validate()
	case o.PoolPressure != nil:
		return o.PoolPressure.validate()
	case o.RequestCrash != nil:
		return o.RequestCrash.validate()
	case o.RequestQuarantine != nil:
		return o.RequestQuarantine.validate()
	}
	return nil
}

func (f *UpstreamFailure) validate() error {
	if err := ValidateName("gossip.pool", string(f.Pool)); err != nil {
		return err
	}
	return ValidateName("gossip.upstream", string(f.Upstream))
}

func (r *UpstreamRefusal) validate() error {
	if err := ValidateName("gossip.pool", string(r.Pool)); err != nil {
		return err
	}
	if r.Remaining <= 0 || r.Remaining > maxDuration || r.Backoff < 0 || r.Backoff > maxDuration {
		return Fail(KindBadRequest, "gossip: the back-off is out of range")
	}
	return ValidateName("gossip.upstream", string(r.Upstream))
}

func (c *PromptCrash) validate() error {
	if len(c.Parts) == 0 || len(c.Parts) > MaxPromptParts {
		return Fail(KindBadRequest, "gossip: a crash has %d prompt parts", len(c.Parts))
	}
	return ValidateName("gossip.upstream", string(c.Upstream))
}

func (q *PromptQuarantine) validate() error {
	if len(q.Parts) == 0 || len(q.Parts) > MaxPromptParts {
		return Fail(KindBadRequest, "quarantine: has %d prompt parts", len(q.Parts))
	}
	if q.Remaining <= 0 || q.Remaining > maxDuration {
		return Fail(KindBadRequest, "quarantine: the remaining time is out of range")
	}
	return nil
}

func (l *UpstreamLimit) validate() error {
	if err := ValidateName("limit.pool", string(l.Pool)); err != nil {
		return err
	}
	if err := ValidateName("limit.upstream", string(l.Upstream)); err != nil {
		return err
	}
	if l.Age < 0 || l.Age > maxDuration || l.SinceSent < 0 || l.SinceSent > maxDuration {
		return Fail(KindBadRequest, "limit: a time is out of range")
	}
	return l.RateLimit.Validate()
}

func (m *UpstreamLimits) validate() error {
	if len(m.Limits) > MaxUpstreamLimits || len(m.Cold) > MaxUpstreamLimits {
		return Fail(KindBadRequest, "limits: has %d limits and %d cold upstreams", len(m.Limits), len(m.Cold))
	}
	for i := range m.Cold {
		if err := m.Cold[i].validate(); err != nil {
			return err
		}
	}
	for i := range m.Limits {
		if err := m.Limits[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (m *QuarantineList) validate() error {
	for i := range m.Quarantines {
		if err := m.Quarantines[i].validate(); err != nil {
			return err
		}
	}
	for i := range m.Requests {
		if err := m.Requests[i].validate(); err != nil {
			return err
		}
	}
	for i := range m.Crashes {
		if err := m.Crashes[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (m *UpstreamList) validate() error {
	for i := range m.Seen {
		if err := m.Seen[i].Announcement.Validate(); err != nil {
			return err
		}
		if m.Seen[i].Age < 0 || m.Seen[i].Age > maxDuration || m.Seen[i].KnownFor < 0 {
			return Fail(KindBadRequest, "upstream list: age is out of range")
		}
	}
	for i := range m.Deregistered {
		if err := m.Deregistered[i].Validate(); err != nil {
			return err
		}
	}
	for _, missing := range m.Missing {
		if missing.Age < 0 || missing.Age > maxDuration {
			return Fail(KindBadRequest, "upstream list: age is out of range")
		}
	}
	if m.FreshFor < 0 || m.FreshFor > maxDuration || m.EntryHosts < 0 || m.EntryHosts > maxListLength {
		return Fail(KindBadRequest, "upstream list: freshness or number of hosts is out of range")
	}
	return nil
}
