package core

import (
	"net/netip"
	"time"
)

// Message is a message between the kernels of two hosts.
type Message any

// MessageReceived is the event that a message from a host arrived; the host may be this one.
type MessageReceived struct {
	From    HostID
	Message Message
}

// SendMessage sends a message once; it may be lost, delayed, duplicated or reordered.
type SendMessage struct {
	To HostID
	// Addr is the address to send to if the transport does not know the host yet.
	Addr    netip.AddrPort
	Message Message
}

// Ping probes a host and carries membership updates.
type Ping struct {
	Seq uint64 `cbor:"seq"`
	// From describes the sender, so that the receiver can add it to its members.
	From Member `cbor:"from"`
	// ProbeTarget is the host to probe on behalf of the sender, or empty.
	ProbeTarget HostID `cbor:"target"`
	// KnownHosts is the size of the sender's member table; a receiver that knows more hosts sends some of them back.
	KnownHosts int      `cbor:"known"`
	Updates    []Member `cbor:"news"`
	// Version is the configuration version that is active on the sender.
	Version ConfigVersion `cbor:"config,omitempty"`
}

// Pong responds to a Ping.
type Pong struct {
	Seq     uint64   `cbor:"seq"`
	From    Member   `cbor:"from"`
	Updates []Member `cbor:"news"`
	// Version is the configuration version that is active on the sender.
	Version ConfigVersion `cbor:"config,omitempty"`
}

// ConfigVersionHeard is the event that another host has a newer configuration version than this one.
type ConfigVersionHeard struct {
	From    HostID
	Version ConfigVersion
}

// VoteRequest asks for a vote in an election, or for a pre-vote.
type VoteRequest struct {
	PreVote   bool     `cbor:"pre"`
	Epoch     Epoch    `cbor:"epoch"`
	Disk      DiskID   `cbor:"disk"`
	LastIndex LogIndex `cbor:"lastIndex"`
	LastEpoch Epoch    `cbor:"lastEpoch"`
	// LeadershipTransfer is true if the current leader asked for the election.
	LeadershipTransfer bool `cbor:"handOver"`
}

// TimeoutNow tells a replica to start an election at once because the leader is shutting down.
type TimeoutNow struct {
	Epoch Epoch `cbor:"epoch"`
}

// VoteResponse responds to a VoteRequest.
type VoteResponse struct {
	PreVote bool   `cbor:"pre"`
	Epoch   Epoch  `cbor:"epoch"`
	Disk    DiskID `cbor:"disk"`
	Granted bool   `cbor:"granted"`
}

// AppendRequest carries log entries from the leader to another replica; without entries it is a heartbeat.
type AppendRequest struct {
	Epoch       Epoch    `cbor:"epoch"`
	PrevIndex   LogIndex `cbor:"prevIndex"`
	PrevEpoch   Epoch    `cbor:"prevEpoch"`
	Entries     []Entry  `cbor:"entries"`
	CommitIndex LogIndex `cbor:"commit"`
	// Round numbers the leader's heartbeat rounds; the response returns it.
	Round uint64 `cbor:"round"`
}

// AppendResponse responds to an AppendRequest or an InstallSnapshotRequest once their contents are durable.
type AppendResponse struct {
	Epoch Epoch  `cbor:"epoch"`
	Disk  DiskID `cbor:"disk"`
	OK    bool   `cbor:"ok"`
	// MatchIndex is the last index known to match, or the index to retry from if OK is false.
	MatchIndex LogIndex `cbor:"match"`
	Round      uint64   `cbor:"round"`
}

// InstallSnapshotRequest replaces the state of a replica that is too far behind for entries.
type InstallSnapshotRequest struct {
	Epoch    Epoch    `cbor:"epoch"`
	Snapshot Snapshot `cbor:"snapshot"`
	Round    uint64   `cbor:"round"`
}

// BootstrapRequest asks a replica whether its data directory is empty, before the initial replica set is created.
type BootstrapRequest struct {
	Disk DiskID `cbor:"disk"`
}

// BootstrapResponse responds to a BootstrapRequest.
type BootstrapResponse struct {
	Disk         DiskID `cbor:"disk"`
	Bootstrapped bool   `cbor:"formed"`
}

// InitialReplicaSet sends the initial replica set to its members.
type InitialReplicaSet struct {
	Replicas ReplicaSet `cbor:"keepers"`
}

// LeaseRequest asks the leader for a configuration lease.
type LeaseRequest struct {
	Seq         uint64        `cbor:"ask"`
	HaveVersion ConfigVersion `cbor:"have"`
}

// LeaseGrant extends a host's lease to Duration after its request was sent, and updates its configuration.
type LeaseGrant struct {
	Duration time.Duration `cbor:"for"`
	// RenewAfter is how long the host should wait before it sends the next request.
	RenewAfter time.Duration `cbor:"renew"`
	Seq        uint64        `cbor:"ask"`
	Leader     HostID        `cbor:"leader"`
	Epoch      Epoch         `cbor:"epoch"`
	// Version is the configuration version that the host must have for the lease to be valid.
	Version ConfigVersion `cbor:"version"`
	// Changes leads from the host's version to Version, unless Config is set.
	Changes []Change `cbor:"changes,omitempty"`
	Config  *Config  `cbor:"tables,omitempty"`
}

// LeaseHint tells a host that there is a new leader, so that the host renews its lease at once, or that the sender has a
// new configuration. Each host passes it on to a few others.
type LeaseHint struct {
	// Version is the version that the sender has.
	Version ConfigVersion `cbor:"version"`
	Epoch   Epoch         `cbor:"epoch,omitempty"`
	// Leader is the leader of Epoch; empty means the sender.
	Leader HostID `cbor:"leader,omitempty"`
}

// ConfigRequest asks a host for the changes since a configuration version.
type ConfigRequest struct {
	HaveVersion ConfigVersion `cbor:"have"`
}

// ConfigUpdate responds to a ConfigRequest.
type ConfigUpdate struct {
	Version ConfigVersion `cbor:"version"`
	// Changes leads from the receiver's version to Version, unless Config is set.
	Changes []Change `cbor:"changes,omitempty"`
	Config  *Config  `cbor:"tables,omitempty"`
}

// LeaseRedirect tells a host which leader to ask instead.
type LeaseRedirect struct {
	Leader HostID `cbor:"leader"`
}

// CommandRequest forwards an operator's command to the leader.
type CommandRequest struct {
	Command Command `cbor:"command"`
}

// CommandResponse responds to a CommandRequest.
type CommandResponse struct {
	Result CommandResult `cbor:"result"`
}

// StatusRequest asks the leader for the system's status.
type StatusRequest struct {
	CorrelationID uint64 `cbor:"ticket"`
}

// StatusResponse responds to a StatusRequest.
type StatusResponse struct {
	CorrelationID uint64 `cbor:"ticket"`
	Status        Status `cbor:"status"`
}

// IdempotencyRequest asks the leader to commit a state of a non-idempotent call.
type IdempotencyRequest struct {
	Record IdempotencyRecord `cbor:"record"`
}

// IdempotencyResponse responds to an IdempotencyRequest with the committed record.
type IdempotencyResponse struct {
	Request RequestID         `cbor:"request"`
	Record  IdempotencyRecord `cbor:"record"`
	// Owned is true if the requesting attempt owns the record.
	Owned   bool     `cbor:"fresh"`
	Failure *Failure `cbor:"failure,omitempty"`
}

// QuotaRequest asks the quota owner for tokens and settles earlier grants.
type QuotaRequest struct {
	// Seq grows with each request within one Boot; the owner ignores a request that is not newer than the last.
	Seq  uint64 `cbor:"ask"`
	Boot uint64 `cbor:"boot"`
	// Epoch is the term of the grants that the items settle.
	Epoch Epoch              `cbor:"epoch"`
	Items []QuotaRequestItem `cbor:"lines"`
	// Fallback is true if the request goes to the account's deputy, because the owner is unresponsive.
	Fallback bool `cbor:"fallback,omitempty"`
}

// QuotaRequestItem is the part of a QuotaRequest for one account.
type QuotaRequestItem struct {
	Account AccountID `cbor:"account"`
	// Required covers the first queued request and the overdraft. Requested adds the other queued requests and a
	// prefetch.
	Required  Tokens `cbor:"need"`
	Requested Tokens `cbor:"want"`
	// Settlements tell what became of earlier grants of Epoch.
	Settlements []QuotaSettlement `cbor:"settled,omitempty"`
	// Refund is the part of earlier charges that the responses did not use.
	Refund Tokens `cbor:"refund"`
}

// QuotaSettlement settles a part of one grant. It names the grant, because the owner must not count it against another
// grant of the same host whose tokens can still be spent.
type QuotaSettlement struct {
	// Grant is the Seq of the QuotaRequest that was granted.
	Grant uint64 `cbor:"grant"`
	// Spent is used up, Unused is returned.
	Spent  Tokens `cbor:"spent,omitempty"`
	Unused Tokens `cbor:"unused,omitempty"`
}

// QuotaGrant grants tokens under a lease that starts when the request was sent.
type QuotaGrant struct {
	Seq uint64 `cbor:"ask"`
	// Boot is that of the request: numbers of requests start anew at each boot, and a grant for an earlier boot must not
	// be taken for one with a later lease. Hosts of earlier versions leave it zero.
	Boot  uint64           `cbor:"boot,omitempty"`
	Epoch Epoch            `cbor:"epoch"`
	Items []QuotaGrantItem `cbor:"lines"`
	// InGracePeriod is true while a new owner grants nothing because its predecessor's grants have not expired.
	InGracePeriod bool `cbor:"closed,omitempty"`
	// Fallback is true if a deputy granted the tokens.
	Fallback bool `cbor:"fallback,omitempty"`
}

// QuotaGrantItem is the part of a QuotaGrant for one account.
type QuotaGrantItem struct {
	Account AccountID `cbor:"account"`
	Granted Tokens    `cbor:"lent"`
	// RetryAfter is how long to wait until a new request may succeed, if less than Required was granted.
	RetryAfter time.Duration `cbor:"ready"`
	// Exhausted is true if an empty bucket means that the account is over its rate. With a new owner it is false for
	// some time, because its buckets start with the initial tokens only.
	Exhausted bool `cbor:"empty"`
}

// PlacementRequest asks a pool's dispatcher to place an attempt; it is resent until it gets a response.
type PlacementRequest struct {
	Attempt AttemptID `cbor:"attempt"`
	// Boot identifies the start of the entry host that has the attempt.
	Boot         uint64    `cbor:"boot"`
	Account      AccountID `cbor:"account"`
	Pool         PoolID    `cbor:"pool"`
	Weight       int       `cbor:"weight"`
	PromptTokens Tokens    `cbor:"prompt"`
	OutputTokens Tokens    `cbor:"output"`
	PrefixHashes []uint64  `cbor:"blocks"`
	// PlainService is true if the attempt needs a slot but no engine memory.
	PlainService bool `cbor:"service"`
	// Repeatable is true if the call may be executed more than once.
	Repeatable bool `cbor:"repeatable,omitempty"`
	// DataCentre is the entry host's data centre if upstreams in it are preferred, or empty.
	DataCentre DataCentre `cbor:"dataCentre,omitempty"`
	// Avoid lists the upstreams on which earlier attempts failed.
	Avoid []UpstreamID `cbor:"avoid"`
	// Regions lists the regions in which the attempt may run; empty means anywhere. Dispatchers of earlier versions ignore it, so
	// that entry hosts check their grants.
	Regions []Region `cbor:"regions,omitempty"`
	// Remaining is how much longer the attempt may wait for its placement, Waited how long the caller has waited so
	// far.
	Remaining time.Duration `cbor:"left"`
	Waited    time.Duration `cbor:"waited"`
	// WithoutPrefill is true if the decode engine is to prefill the prompt, where engines can.
	WithoutPrefill bool `cbor:"withoutPrefill,omitempty"`
	// Prefilled is true if the entry host has the KV cache of a prefill, so that only a decode engine is needed. A dispatcher of
	// an earlier version goes by WithoutPrefill, which is set too.
	Prefilled bool `cbor:"prefilled,omitempty"`
	// Urgent is true if the attempt continues a response that the caller has received in part.
	Urgent bool `cbor:"urgent"`
	// The following fields are optional. Without them, as from a host of an earlier version, the attempt counts as one of the
	// least urgent priority that the pool has, with the dispatcher's default target, and is not refused by a forecast.

	// Priority is the rank of the request's account and route in its pool (Config.PriorityRanks).
	Priority Priority `cbor:"priority,omitempty"`
	// Target is the route's target for the time from the arrival of the request to the response or its first event.
	Target time.Duration `cbor:"target,omitempty"`
	// Patience is how long after its arrival the caller can use the response or its first event.
	Patience time.Duration `cbor:"patience,omitempty"`
	// CallerRemaining is the time until the caller's deadline.
	CallerRemaining time.Duration `cbor:"callerLeft,omitempty"`
	// Pressure is true if the entry host asks because the pool of a plain service is under pressure. A dispatcher that has just
	// started may not know that.
	Pressure bool `cbor:"pressure,omitempty"`
	// FixedVersion is true if the attempt continues a stream, which only an upstream of SoftwareVersion may. Dispatchers of earlier
	// versions ignore it, so that entry hosts check their grants.
	FixedVersion    bool            `cbor:"fixedSoftware,omitempty"`
	SoftwareVersion SoftwareVersion `cbor:"software,omitempty"`
	// LocalLoad is set if a host places an attempt itself, with only its own reservations to go by.
	LocalLoad *LocalLoad `cbor:"-"`
}

// LocalLoad is what a host that places attempts itself knows about the load from elsewhere.
type LocalLoad struct {
	// EntryHosts is the number of entry hosts that share the pool, including this one.
	EntryHosts int
	// PlacedElsewhere is the memory in tokens that this host's attempts hold through another dispatcher, by
	// upstream.
	PlacedElsewhere map[UpstreamID]Tokens
}

// PlacementGrant tells an entry host where an attempt may run.
type PlacementGrant struct {
	Attempt AttemptID `cbor:"attempt"`
	Pool    PoolID    `cbor:"pool"`
	Epoch   Epoch     `cbor:"epoch"`
	// Prefill is empty for a plain service; Decode is the upstream that sends the response.
	Prefill     UpstreamID     `cbor:"prefill"`
	PrefillAddr netip.AddrPort `cbor:"prefillAddr"`
	// ExpectedPrefill is the expected duration of the prefill, or zero if it is not known yet.
	ExpectedPrefill time.Duration  `cbor:"expect,omitempty"`
	Decode          UpstreamID     `cbor:"decode"`
	DecodeAddr      netip.AddrPort `cbor:"decodeAddr"`
	// PrefillDataCentre and DecodeDataCentre are the data centres of the upstreams; a host of an earlier version leaves
	// them empty.
	PrefillDataCentre DataCentre `cbor:"prefillDataCentre,omitempty"`
	DecodeDataCentre  DataCentre `cbor:"decodeDataCentre,omitempty"`
	// PrefillIncarnation and DecodeIncarnation are the incarnations that the dispatcher knows, or zero.
	PrefillIncarnation uint64 `cbor:"prefillIncarnation,omitempty"`
	DecodeIncarnation  uint64 `cbor:"decodeIncarnation,omitempty"`
	// DecodeVersion is the software version of Decode; a host of an earlier version leaves it empty.
	DecodeVersion SoftwareVersion `cbor:"decodeSoftware,omitempty"`
	// SingleRequest is true if no second request may be sent to Decode if it refuses the first one: it has a rate limit, or
	// it refuses many.
	SingleRequest bool `cbor:"singleRequest,omitempty"`
	// PrefillCold and DecodeCold are true if the dispatcher knows that the upstream is cold and has counted the request against
	// its cold rate. Hosts of earlier versions don't send them.
	PrefillCold bool `cbor:"prefillCold,omitempty"`
	DecodeCold  bool `cbor:"decodeCold,omitempty"`
	// Waited is how long the caller had waited when the placement was granted, if an upstream is cold. The entry host derives
	// from it the longest time that has passed since the grant.
	Waited time.Duration `cbor:"waited,omitempty"`
	// Pressure is true while the dispatcher finds the pool of a plain service under pressure; it renews what the entry host knows.
	Pressure bool `cbor:"pressure,omitempty"`
}

// UpstreamLimit is the rate limit of an upstream, as a host has heard of it.
type UpstreamLimit struct {
	Pool     PoolID     `cbor:"pool"`
	Upstream UpstreamID `cbor:"id"`
	// Incarnation is zero if the host does not know it.
	Incarnation uint64 `cbor:"inc,omitempty"`
	// RateLimit is zero if the upstream has no limit any more; Age is the time since the upstream said so.
	RateLimit RequestRate   `cbor:"rate,omitempty"`
	Age       time.Duration `cbor:"age,omitempty"`
	// SinceSent is the time since the host was last granted a request to the upstream, or zero.
	SinceSent time.Duration `cbor:"sent,omitempty"`
}

// MaxUpstreamLimits is the largest number of limits in one message.
const MaxUpstreamLimits = 4096

// UpstreamLimits tells another host about the rate limits of upstreams, and which are cold.
type UpstreamLimits struct {
	Limits []UpstreamLimit `cbor:"limits"`
	// Cold lists the upstreams that are cold; hosts of earlier versions ignore it.
	Cold []ColdUpstream `cbor:"cold,omitempty"`
	// NewDispatcher is true if the receiver becomes the dispatcher of the upstreams' pool.
	NewDispatcher bool `cbor:"newDispatcher,omitempty"`
}

// PlacementRefused tells an entry host that an attempt is not placed.
type PlacementRefused struct {
	Attempt AttemptID `cbor:"attempt"`
	Failure Failure   `cbor:"failure"`
	// Final is true if the dispatcher knows the pool's upstreams and another request for the placement is of no use.
	Final bool `cbor:"final,omitempty"`
}

// PlacementQueued tells an entry host that an attempt is queued, so that no response at all means that the dispatcher
// failed.
type PlacementQueued struct {
	Attempt AttemptID `cbor:"attempt"`
}

// PlacementRelease releases the dispatcher's reservations for an attempt.
type PlacementRelease struct {
	Attempt AttemptID `cbor:"attempt"`
	Pool    PoolID    `cbor:"pool"`
	// PrefillOnly releases only the prefill's reservation; the decode goes on.
	PrefillOnly bool `cbor:"prefillOnly"`
	// Cancel is true if an engine may still hold memory for the attempt.
	Cancel bool `cbor:"cancel"`
	// Unused is true if the request was not sent to the upstream whose reservation is released: to the prefill engine if
	// PrefillOnly is set, otherwise to Decode. The release then says nothing of that upstream. A dispatcher of an earlier
	// version counts a success.
	Unused bool `cbor:"unused,omitempty"`
	// FailedUpstream is the upstream that failed the attempt, or empty.
	FailedUpstream UpstreamID `cbor:"failed"`
	// Misdirected is true if FailedUpstream has a different identity or role than announced.
	Misdirected bool `cbor:"moved,omitempty"`
	// RefusedBy is the upstream that refused the attempt, or empty; RetryAfter is how long it wants no further request, or zero
	// if it did not say. WithKV is true if the KV cache of a prefill may have been the reason.
	RefusedBy  UpstreamID    `cbor:"refusedBy,omitempty"`
	RetryAfter time.Duration `cbor:"retryAfter,omitempty"`
	WithKV     bool          `cbor:"withKV,omitempty"`
	// FirstTokenLatency is the time from the end of the prefill to the first token, or zero if there was none.
	FirstTokenLatency time.Duration `cbor:"first"`
	// CallTime is the time from sending a call to a plain service to its response, or zero if there was none. Hosts of earlier
	// versions leave it zero, and their calls are not measured.
	CallTime time.Duration `cbor:"callTime,omitempty"`
}

// PlacementReleaseAck acknowledges a PlacementRelease.
type PlacementReleaseAck struct {
	Attempt     AttemptID `cbor:"attempt"`
	PrefillOnly bool      `cbor:"prefillOnly"`
}

// PlacementClaim tells a pool's new dispatcher about an attempt that an entry host is running.
type PlacementClaim struct {
	Request PlacementRequest `cbor:"ask"`
	Grant   PlacementGrant   `cbor:"placed"`
	// Decoding is true once the prefill's reservation is released.
	Decoding bool `cbor:"decoding"`
}

// PlacementClaimsRequest asks an entry host for the attempts that it runs in a pool, because the sender becomes its
// dispatcher.
type PlacementClaimsRequest struct {
	Pool PoolID `cbor:"pool"`
}

// PlacementClaimsResponse responds to a PlacementClaimsRequest with all attempts that the host runs in the pool.
type PlacementClaimsResponse struct {
	Pool   PoolID           `cbor:"pool"`
	Claims []PlacementClaim `cbor:"claims"`
}

// AssignmentMismatch tells the leader that an engine announces another state than the one assigned to it.
type AssignmentMismatch struct {
	Announcement Announcement `cbor:"announcement"`
}

// RoleChangeRequest asks the leader to assign another role to an engine because the load has shifted.
type RoleChangeRequest struct {
	Assignment Assignment `cbor:"assignment"`
}

// ActiveAttempts periodically tells a dispatcher which attempts of a pool an entry host has, so that both sides
// notice lost messages.
type ActiveAttempts struct {
	Pool     PoolID      `cbor:"pool"`
	Attempts []AttemptID `cbor:"attempts"`
}

// UnknownAttempts tells an entry host which of its active attempts the dispatcher does not know.
type UnknownAttempts struct {
	Attempts []AttemptID `cbor:"attempts"`
}

// UpstreamUpdate forwards an upstream's announcement or report to its pool's dispatcher.
type UpstreamUpdate struct {
	Announcement *Announcement `cbor:"announcement,omitempty"`
	Report       *LoadReport   `cbor:"report,omitempty"`
}

// UpstreamList tells an entry host about the upstreams that announce themselves to the sender; it is sent if entry hosts
// place attempts themselves. The first list is complete, and the others change it, so that their size does not grow with
// the number of upstreams.
type UpstreamList struct {
	Seen         []SeenUpstream         `cbor:"heard,omitempty"`
	Deregistered []UpstreamDeregistered `cbor:"gone,omitempty"`
	// Boot is that of the sender. Version numbers its lists; this one changes the list with the version Base, or is
	// complete if Base is zero.
	Boot    uint64 `cbor:"boot,omitempty"`
	Base    uint64 `cbor:"base,omitempty"`
	Version uint64 `cbor:"version,omitempty"`
	// Removed are the upstreams that are not in the list any more, since they were not seen for long.
	Removed []UpstreamID `cbor:"removed,omitempty"`
	// Refresh is true if all upstreams of the list but those in Missing have been seen in the last FreshFor.
	Refresh  bool              `cbor:"refresh,omitempty"`
	FreshFor time.Duration     `cbor:"freshFor,omitempty"`
	Missing  []MissingUpstream `cbor:"missing,omitempty"`
	// EntryHosts is the largest number of entry hosts that the sender has known at once; hosts of earlier versions send none.
	EntryHosts int `cbor:"entryHosts,omitempty"`
}

// MissingUpstream is an upstream that misses heartbeats, with the time since the last one.
type MissingUpstream struct {
	ID  UpstreamID    `cbor:"id"`
	Age time.Duration `cbor:"age"`
}

// MaxGossipHops is how often a copy of an item may be passed on.
const MaxGossipHops = 12

// Gossip carries an item to a random entry host.
type Gossip struct {
	Item GossipItem `cbor:"item"`
}

// GossipID identifies an item: the host that published it, that host's boot number, and the item's number in that boot.
type GossipID struct {
	Host   HostID `cbor:"host"`
	Boot   uint64 `cbor:"boot"`
	Number uint64 `cbor:"number"`
}

// GossipItem is an observation of one host that others may pass on.
type GossipItem struct {
	ID GossipID `cbor:"id"`
	// Hops is how often this copy may still be passed on.
	Hops        int         `cbor:"hops"`
	Observation Observation `cbor:"observation"`
}

// Observation is what a host shares with the other entry hosts; exactly one field is set.
type Observation struct {
	UpstreamFailure  *UpstreamFailure  `cbor:"upstreamFailure,omitempty"`
	PromptCrash      *PromptCrash      `cbor:"promptCrash,omitempty"`
	PromptSound      *PromptSound      `cbor:"promptSound,omitempty"`
	PromptQuarantine *PromptQuarantine `cbor:"promptQuarantine,omitempty"`
	UpstreamLimit    *UpstreamLimit    `cbor:"upstreamLimit,omitempty"`
	UpstreamRefusal  *UpstreamRefusal  `cbor:"upstreamRefusal,omitempty"`
	// UpstreamLeaving is an upstream that said in a response that it is leaving.
	UpstreamLeaving *UpstreamDeregistered `cbor:"upstreamLeaving,omitempty"`
	// Hosts of earlier versions drop items with the following fields, which they don't know.
	RequestCrash      *RequestCrash      `cbor:"requestCrash,omitempty"`
	RequestSound      *RequestSound      `cbor:"requestSound,omitempty"`
	RequestQuarantine *RequestQuarantine `cbor:"requestQuarantine,omitempty"`
	// PoolPressure is unknown to hosts of earlier versions, which drop the item and place their own calls.
	PoolPressure *PoolPressure `cbor:"poolPressure,omitempty"`
}

// UpstreamFailure is the failure of a host's call at a plain service.
type UpstreamFailure struct {
	Pool        PoolID     `cbor:"pool"`
	Upstream    UpstreamID `cbor:"upstream"`
	Incarnation uint64     `cbor:"incarnation"`
}

// UpstreamRefusal is the back-off of an upstream of a plain service that refuses most calls, with the time that remains.
type UpstreamRefusal struct {
	Pool        PoolID        `cbor:"pool"`
	Upstream    UpstreamID    `cbor:"upstream"`
	Incarnation uint64        `cbor:"incarnation"`
	Backoff     time.Duration `cbor:"backoff"`
	Remaining   time.Duration `cbor:"remaining"`
}

// UpstreamListRequest asks for the complete list, because a change of it was lost.
type UpstreamListRequest struct{}

// SeenUpstream is an announcement with its age at the sender.
type SeenUpstream struct {
	Announcement Announcement  `cbor:"announcement"`
	Age          time.Duration `cbor:"age"`
	// KnownFor is the time since the first announcement of the incarnation; hosts of earlier versions don't send it.
	KnownFor time.Duration `cbor:"knownFor,omitempty"`
}
