package core

import (
	"net/netip"
	"time"
)

// Role is the function of an upstream.
type Role string

// The upstream roles.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
	RoleService Role = "service"
)

// CanPrefill reports whether upstreams of this role accept prefills.
func (r Role) CanPrefill() bool { return r == RolePrefill || r == RoleBoth }

// CanDecode reports whether upstreams of this role accept decodes.
func (r Role) CanDecode() bool { return r == RoleDecode || r == RoleBoth }

// SoftwareVersion names the version of an upstream's software. Versions have no order.
type SoftwareVersion string

// Announcement registers an upstream; it is repeated as a heartbeat.
type Announcement struct {
	ID         UpstreamID     `cbor:"id"         json:"id"`
	Pool       PoolID         `cbor:"pool"       json:"pool"`
	Role       Role           `cbor:"role"       json:"role"`
	Addr       netip.AddrPort `cbor:"addr"       json:"addr"`
	DataCentre DataCentre     `cbor:"dataCentre" json:"dataCentre"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	// Seq grows with each announcement of an incarnation, so that late announcements can be ignored; zero means
	// unknown.
	Seq uint64 `cbor:"seq,omitempty" json:"seq,omitempty"`
	// Slots is the number of concurrent streams of a decode engine or calls of a service.
	Slots int `cbor:"slots" json:"slots"`
	// MemoryPages is the engine's memory in pages of 4,096 tokens (PageTokens).
	MemoryPages int `cbor:"pieces" json:"pieces"`
	// MemoryFromConfig is true if the engine has the memory that the configuration sets for its pool.
	MemoryFromConfig bool `cbor:"sized,omitempty" json:"sized,omitempty"`
	ChecksSender     bool `cbor:"checksSender"  json:"checksSender"`
	ChecksFencing    bool `cbor:"checksFencing" json:"checksFencing"`
	// Leaving upstreams get no new work.
	Leaving bool `cbor:"leaving" json:"leaving"`
	// ModelVersion names the loaded model weights and Adapter what is loaded on top of them.
	ModelVersion string `cbor:"version" json:"version"`
	Adapter      string `cbor:"adapter" json:"adapter"`
	// SoftwareVersion names the software that serves the model. It is empty for an upstream that does not say, and from a host of
	// an earlier version.
	SoftwareVersion SoftwareVersion `cbor:"software,omitempty" json:"softwareVersion,omitempty"`
	// ColdFor is how much longer the upstream stays cold, counted from when the announcement was made; ColdStated is true if the
	// upstream says whether it is cold. Hosts of earlier versions send neither.
	ColdFor    time.Duration `cbor:"coldFor,omitempty"    json:"coldFor,omitempty"`
	ColdStated bool          `cbor:"coldStated,omitempty" json:"coldStated,omitempty"`
}

const (
	maxSlots = 1 << 16
	// maxVersionBytes limits the name of a software version.
	maxVersionBytes = 256
	maxMemoryPages  = 1 << 24
	// maxSequence limits incarnations, which are times in milliseconds, and sequence numbers: above it, no later announcement
	// could follow. Every JSON parser represents it exactly.
	maxSequence = 1 << 53
)

// Validate returns a KindBadRequest error if a field of the announcement is out of range.
func (a *Announcement) Validate() error {
	if err := ValidateName("id", string(a.ID)); err != nil {
		return err
	}
	if err := ValidateName("pool", string(a.Pool)); err != nil {
		return err
	}
	if !a.Role.CanPrefill() && !a.Role.CanDecode() && a.Role != RoleService {
		return Fail(KindBadRequest, "role: unknown role %q", a.Role)
	}
	if !a.Addr.IsValid() || a.Addr.Port() == 0 {
		return Fail(KindBadRequest, "addr: must be an IP address and a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.MemoryPages < 0 || a.MemoryPages > maxMemoryPages {
		return Fail(KindBadRequest, "slots or pieces are out of range")
	}
	if a.Incarnation > maxSequence || a.Seq > maxSequence {
		return Fail(KindBadRequest, "incarnation or seq is out of range")
	}
	if err := a.SoftwareVersion.validate(); err != nil {
		return err
	}
	if a.ColdFor < 0 || a.ColdFor > MaxStatedColdTime {
		return Fail(KindBadRequest, "coldFor is out of range")
	}
	if a.Role != RoleService && a.MemoryPages == 0 && !a.MemoryFromConfig {
		return Fail(KindBadRequest, "pieces: must be positive for an engine")
	}
	return nil
}

// LoadReport is an upstream's report of the work that it holds and of its prefix cache; it lags behind the actual
// state.
type LoadReport struct {
	ID          UpstreamID `cbor:"id"          json:"id"`
	Pool        PoolID     `cbor:"pool"        json:"pool"`
	Incarnation uint64     `cbor:"incarnation" json:"incarnation"`
	// Seq counts the reports of an incarnation; a gap means that cache events were lost.
	Seq uint64 `cbor:"seq" json:"seq"`
	// Attempts lists the attempts that the upstream holds memory for.
	Attempts []AttemptID `cbor:"attempts" json:"attempts"`
	// StoredBlocks and EvictedBlocks are the prefix blocks added to and removed from the cache since the last
	// report.
	StoredBlocks  []uint64 `cbor:"stored"  json:"stored"`
	EvictedBlocks []uint64 `cbor:"evicted" json:"evicted"`
}

const maxReportItems = 1 << 16

// Validate returns a KindBadRequest error if a field of the report is out of range.
func (r *LoadReport) Validate() error {
	if err := ValidateName("id", string(r.ID)); err != nil {
		return err
	}
	if len(r.Attempts) > maxReportItems || len(r.StoredBlocks) > maxReportItems || len(r.EvictedBlocks) > maxReportItems {
		return Fail(KindBadRequest, "report: lists must have at most %d elements", maxReportItems)
	}
	return ValidateName("pool", string(r.Pool))
}

// UpstreamAnnounced is the event that an upstream sent an announcement to this host.
type UpstreamAnnounced struct{ Announcement Announcement }

// UpstreamDeregistered is the event that an upstream deregistered. Earlier incarnations than the named one have ended.
type UpstreamDeregistered struct {
	ID UpstreamID `cbor:"id"`
	// Incarnation is zero if the upstream did not name it; the incarnation known before then deregistered.
	Incarnation uint64 `cbor:"incarnation"`
	// Stated is true if the upstream said in a response that it is leaving.
	Stated bool `cbor:"stated,omitempty"`
	// Age is how long ago the deregistration was received, if Incarnation is zero. A host of an earlier version applies a
	// repeated deregistration without an incarnation to one that was announced since.
	Age time.Duration `cbor:"age,omitempty"`
}

// Validate returns a KindBadRequest error if a field of the deregistration is out of range.
func (d *UpstreamDeregistered) Validate() error {
	if d.Incarnation > maxSequence {
		return Fail(KindBadRequest, "incarnation is out of range")
	}
	if d.Age < 0 || d.Age > maxDuration {
		return Fail(KindBadRequest, "age is out of range")
	}
	return ValidateName("id", string(d.ID))
}

// UpstreamLeaving is the event that an incarnation of an upstream and all earlier ones are leaving, or, if Leaving is false,
// that the incarnation accepts work.
type UpstreamLeaving struct {
	ID          UpstreamID
	Incarnation uint64
	Leaving     bool
}

// UpstreamsAvailable is the event that the number of upstreams that accept work became zero or is no longer zero.
type UpstreamsAvailable struct{ Count int }

// UpstreamReported is the event that an upstream sent a load report to this host.
type UpstreamReported struct{ Report LoadReport }

// AssignRequest tells an engine which pool, role and model to take on.
type AssignRequest struct {
	Assignment Assignment
	// Epoch is the fencing token: an engine that checks it rejects requests from an earlier leader.
	Epoch Epoch
}

// SendAssignRequest sends an assign request unless SendBefore has passed; AssignRequestEnded follows.
type SendAssignRequest struct {
	Request    AssignRequest
	Addr       netip.AddrPort
	Timeout    time.Duration
	SendBefore time.Time
}

// AssignRequestEnded is the event that an assign request ended.
type AssignRequestEnded struct {
	Upstream UpstreamID
	Epoch    Epoch
	Failure  *Failure
}

// Member is a host as other hosts see it.
type Member struct {
	Host       HostID         `cbor:"host"        json:"host"`
	Addr       netip.AddrPort `cbor:"addr"        json:"addr"`
	DataCentre DataCentre     `cbor:"dataCentre"  json:"dataCentre"`
	Disk       DiskID         `cbor:"disk"        json:"disk"`
	// Boot identifies a start of the host's process; later starts have higher numbers.
	Boot uint64 `cbor:"boot" json:"boot"`
	// Incarnation grows when the host refutes a suspicion.
	Incarnation uint64      `cbor:"incarnation" json:"incarnation"`
	State       MemberState `cbor:"state"       json:"state"`
	// Leaving hosts finish their requests and take no new roles.
	Leaving bool `cbor:"leaving" json:"leaving"`
	// Entry is true if the host serves callers.
	Entry bool `cbor:"entry" json:"entry"`
}

// CountEntryHosts returns the number of members that serve callers.
func CountEntryHosts(members []Member) int {
	count := 0
	for i := range members {
		if members[i].Entry {
			count++
		}
	}
	return count
}

// MemberState is the state of a host as other hosts believe it.
type MemberState uint8

// The member states; within an incarnation, a later state overrides an earlier one.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberLeft
	MemberDead
)

// MembersChanged is the event that the live or suspect hosts changed; Members includes this host and is sorted by ID.
type MembersChanged struct{ Members []Member }

// SeedsChanged is the event that the settings have other seeds.
type SeedsChanged struct{ Seeds []netip.AddrPort }

// PeersChanged gives the transport the addresses of the other hosts.
type PeersChanged struct{ Peers []Member }

// ConfigActivated is the event that another configuration version is active on this host.
type ConfigActivated struct{ Config *Config }

// LeaseLeaderChanged is the event that the last configuration lease came from another leader; every host gets it.
type LeaseLeaderChanged struct {
	Leader HostID
	Epoch  Epoch
}

// ConfigCommitted is the event on a replica that a command created a configuration version, or a snapshot restored
// one.
type ConfigCommitted struct {
	Config *Config
	Change Change
	// Previous is the version that Change was applied to.
	Previous *Config
	// Epoch is the term in which Change was proposed. A new leader also gets the events of earlier terms.
	Epoch Epoch
}

// PublishState gives the traffic goroutines the state that they may read without asking the core.
type PublishState struct {
	Config *Config
	// LeaseExpires is when the configuration lease expires.
	LeaseExpires time.Time
	Draining     bool
	// HasUpstreams is true if the host knows an upstream that accepts work.
	HasUpstreams bool
}

// LeaseChanged is the event that the expiry of the configuration lease changed.
type LeaseChanged struct{ Expires time.Time }
