package core

import (
	"net/netip"
	"time"
)

// Message is what one host's core says to another's.
type Message any

// Received tells that a message came from a host.
type Received struct {
	From    HostID
	Message Message
}

// SendMessage asks for a message to be sent once; it may be lost, late, repeated or reordered.
type SendMessage struct {
	To HostID
	// Addr is where to send, where the member table does not know the host yet.
	Addr    netip.AddrPort
	Message Message
}

// Ping asks a host whether it is alive and carries news of members.
type Ping struct {
	Seq uint64 `cbor:"seq"`
	// From describes the sender, so that a new host becomes known.
	From Member `cbor:"from"`
	// Target is the host to probe in the sender's place, or empty.
	Target HostID `cbor:"target"`
	// Known is how many hosts the sender knows; who knows more answers with some of them.
	Known int      `cbor:"known"`
	News  []Member `cbor:"news"`
}

// Pong answers a Ping.
type Pong struct {
	Seq  uint64   `cbor:"seq"`
	From Member   `cbor:"from"`
	News []Member `cbor:"news"`
}

// VoteAsk asks for a vote, or with Pre for the promise of one.
type VoteAsk struct {
	Pre       bool   `cbor:"pre"`
	Epoch     Epoch  `cbor:"epoch"`
	Disk      DiskID `cbor:"disk"`
	LastIndex Index  `cbor:"lastIndex"`
	LastEpoch Epoch  `cbor:"lastEpoch"`
	// HandOver is true where the leader of the epoch before asked for the election.
	HandOver bool `cbor:"handOver"`
}

// TakeOver asks a keeper to become the leader, since the one that sends it is shutting down.
type TakeOver struct {
	Epoch Epoch `cbor:"epoch"`
}

// VoteReply answers a VoteAsk.
type VoteReply struct {
	Pre     bool   `cbor:"pre"`
	Epoch   Epoch  `cbor:"epoch"`
	Disk    DiskID `cbor:"disk"`
	Granted bool   `cbor:"granted"`
}

// Append carries entries from the leader to a keeper; without entries it is a heartbeat.
type Append struct {
	Epoch     Epoch   `cbor:"epoch"`
	PrevIndex Index   `cbor:"prevIndex"`
	PrevEpoch Epoch   `cbor:"prevEpoch"`
	Entries   []Entry `cbor:"entries"`
	Commit    Index   `cbor:"commit"`
	// Round numbers the leader's rounds of heartbeats; the answer echoes it.
	Round uint64 `cbor:"round"`
}

// AppendReply answers an Append or an InstallSnapshot once everything named is durable.
type AppendReply struct {
	Epoch Epoch  `cbor:"epoch"`
	Disk  DiskID `cbor:"disk"`
	OK    bool   `cbor:"ok"`
	// Match is the last index known to agree, or where to try next if OK is false.
	Match Index  `cbor:"match"`
	Round uint64 `cbor:"round"`
}

// InstallSnapshot brings a keeper that is far behind up to date.
type InstallSnapshot struct {
	Epoch    Epoch    `cbor:"epoch"`
	Snapshot Snapshot `cbor:"snapshot"`
	Round    uint64   `cbor:"round"`
}

// FormAsk asks a keeper whether its folder is empty too, before the first keeper set is formed.
type FormAsk struct {
	Disk DiskID `cbor:"disk"`
}

// FormReply answers a FormAsk.
type FormReply struct {
	Disk   DiskID `cbor:"disk"`
	Formed bool   `cbor:"formed"`
}

// Formed gives the first keeper set to its members.
type Formed struct {
	Keepers KeeperSet `cbor:"keepers"`
}

// LeaseAsk asks the leader for a configuration lease.
type LeaseAsk struct {
	Ask  uint64  `cbor:"ask"`
	Have Version `cbor:"have"`
}

// LeaseGrant extends a host's lease by For from when it asked, and brings it up to date.
type LeaseGrant struct {
	For time.Duration `cbor:"for"`
	// Renew is when the host should ask again.
	Renew  time.Duration `cbor:"renew"`
	Ask    uint64        `cbor:"ask"`
	Leader HostID        `cbor:"leader"`
	Epoch  Epoch         `cbor:"epoch"`
	// Version is the one that must be in force for the lease to count.
	Version Version `cbor:"version"`
	// Changes lead from the version that the host has, unless Tables is set.
	Changes []Change `cbor:"changes,omitempty"`
	Tables  *Tables  `cbor:"tables,omitempty"`
}

// LeaseHint tells a host that the sender leads by now or that the configuration has changed, so that it asks there at once.
type LeaseHint struct {
	Version Version `cbor:"version"`
	Epoch   Epoch   `cbor:"epoch,omitempty"`
}

// LeaseRedirect tells a host whom to ask instead.
type LeaseRedirect struct {
	Leader HostID `cbor:"leader"`
}

// CommandAsk forwards an operator's command to the leader.
type CommandAsk struct {
	Command Command `cbor:"command"`
}

// CommandReply answers a CommandAsk.
type CommandReply struct {
	Result CommandResult `cbor:"result"`
}

// StatusAsk asks the leader for a StatusReply.
type StatusAsk struct {
	Ticket uint64 `cbor:"ticket"`
}

// StatusReply answers a StatusAsk.
type StatusReply struct {
	Ticket uint64 `cbor:"ticket"`
	Status Status `cbor:"status"`
}

// OnceAsk asks the leader to commit a step of a call that may not be repeated.
type OnceAsk struct {
	Record OnceRecord `cbor:"record"`
}

// OnceReply answers an OnceAsk with the record that is now decided.
type OnceReply struct {
	Request RequestID  `cbor:"request"`
	Record  OnceRecord `cbor:"record"`
	// Fresh is true where the asking attempt owns the record.
	Fresh   bool     `cbor:"fresh"`
	Failure *Failure `cbor:"failure,omitempty"`
}

// QuotaAsk asks the quota owner for token amounts and returns the ones not used.
type QuotaAsk struct {
	// Ask grows with each message of one start of a host; the owner takes each at most once.
	Ask  uint64 `cbor:"ask"`
	Boot uint64 `cbor:"boot"`
	// Epoch is the owner's whose grants Unused and Spent settle.
	Epoch Epoch       `cbor:"epoch"`
	Lines []QuotaLine `cbor:"lines"`
}

// QuotaLine is one account's part of a QuotaAsk.
type QuotaLine struct {
	Account AccountID `cbor:"account"`
	// Need is what the first waiting request takes; Want adds what the host would keep at hand.
	Need Tokens `cbor:"need"`
	Want Tokens `cbor:"want"`
	// Unused and Spent settle earlier grants of the epoch: what is given back and what is gone.
	Unused Tokens `cbor:"unused"`
	Spent  Tokens `cbor:"spent"`
	// Refund is the part of earlier charges that the answers did not use.
	Refund Tokens `cbor:"refund"`
}

// QuotaGrant lends token amounts for QuotaLease from when the host asked.
type QuotaGrant struct {
	Ask   uint64      `cbor:"ask"`
	Epoch Epoch       `cbor:"epoch"`
	Lines []QuotaLent `cbor:"lines"`
	// Closed owners are new and lend nothing until what an earlier one lent has run out.
	Closed bool `cbor:"closed,omitempty"`
}

// QuotaLent is one account's part of a QuotaGrant.
type QuotaLent struct {
	Account AccountID `cbor:"account"`
	Lent    Tokens    `cbor:"lent"`
	// Ready is when asking again is worth it, counted from now, where less was lent than wanted.
	Ready time.Duration `cbor:"ready"`
	// Empty is true where the account has certainly used up its rate and burst. A new owner does not know that yet.
	Empty bool `cbor:"empty"`
}

// PlaceAsk asks a pool's dispatcher for a place for an attempt; it is repeated until it is answered.
type PlaceAsk struct {
	Attempt AttemptID `cbor:"attempt"`
	// Boot tells which start of the entry host has the attempt.
	Boot    uint64    `cbor:"boot"`
	Account AccountID `cbor:"account"`
	Pool    PoolID    `cbor:"pool"`
	Weight  int       `cbor:"weight"`
	Prompt  Tokens    `cbor:"prompt"`
	Output  Tokens    `cbor:"output"`
	Blocks  []uint64  `cbor:"blocks"`
	// Service attempts need one place and no engine memory.
	Service bool `cbor:"service"`
	// DataCentre is where the entry host is, if the answer should rather come from there.
	DataCentre DataCentre `cbor:"dataCentre,omitempty"`
	// Avoid lists the upstreams at which earlier attempts failed.
	Avoid []UpstreamID `cbor:"avoid"`
	// Left is how long the caller still waits, Waited how long it has waited already.
	Left   time.Duration `cbor:"left"`
	Waited time.Duration `cbor:"waited"`
	// Urgent attempts go on with an answer of which the caller has a part.
	Urgent bool `cbor:"urgent"`
	// Alone is set where a host asks its own ledger, which knows only a part of the load.
	Alone *Alone `cbor:"-"`
}

// Alone is what a host that places by its own ledger knows of the rest of the load.
type Alone struct {
	// Hosts is how many entry hosts share the pool, this one among them.
	Hosts int
	// Beside is the memory that the host's attempts hold which another ledger placed, by upstream.
	Beside map[UpstreamID]Tokens
}

// Placed tells where an attempt may run.
type Placed struct {
	Attempt AttemptID `cbor:"attempt"`
	Pool    PoolID    `cbor:"pool"`
	Epoch   Epoch     `cbor:"epoch"`
	// Prefill is unset for a plain service; Decode is where the answer comes from.
	Prefill     UpstreamID     `cbor:"prefill"`
	PrefillAddr netip.AddrPort `cbor:"prefillAddr"`
	// Expect is how long the prefill should take, or zero where that is not known yet.
	Expect     time.Duration  `cbor:"expect,omitempty"`
	Decode     UpstreamID     `cbor:"decode"`
	DecodeAddr netip.AddrPort `cbor:"decodeAddr"`
}

// PlaceRefused tells that an attempt gets no place.
type PlaceRefused struct {
	Attempt AttemptID `cbor:"attempt"`
	Failure Failure   `cbor:"failure"`
}

// PlaceQueued tells that an attempt waits for its place, so that silence means that the dispatcher is gone.
type PlaceQueued struct {
	Attempt AttemptID `cbor:"attempt"`
}

// PlaceDone gives back what a dispatcher reserved for an attempt.
type PlaceDone struct {
	Attempt AttemptID `cbor:"attempt"`
	Pool    PoolID    `cbor:"pool"`
	// PrefillOnly gives back the prefill's share while the decode goes on.
	PrefillOnly bool `cbor:"prefillOnly"`
	// Cancel is true where an engine may still hold memory for the attempt.
	Cancel bool `cbor:"cancel"`
	// Failed names the upstream that failed the attempt, or is empty.
	Failed UpstreamID `cbor:"failed"`
	// Moved is true where the upstream named by Failed is another one, or does something else, than it said.
	Moved bool `cbor:"moved,omitempty"`
	// First is the time from the prefill's end to the first token, or zero where there was none.
	First time.Duration `cbor:"first"`
}

// PlaceDoneReply acknowledges a PlaceDone.
type PlaceDoneReply struct {
	Attempt     AttemptID `cbor:"attempt"`
	PrefillOnly bool      `cbor:"prefillOnly"`
}

// Claim tells a pool's new dispatcher of an attempt that an entry host is running.
type Claim struct {
	Ask    PlaceAsk `cbor:"ask"`
	Placed Placed   `cbor:"placed"`
	// Decoding is true once the prefill's share is free.
	Decoding bool `cbor:"decoding"`
}

// ClaimAsk asks an entry host for what it runs in a pool, since the sender takes the pool over.
type ClaimAsk struct {
	Pool PoolID `cbor:"pool"`
}

// Claims answers a ClaimAsk with all that the host runs in the pool.
type Claims struct {
	Pool   PoolID  `cbor:"pool"`
	Claims []Claim `cbor:"claims"`
}

// OrderWanted tells the leader of an engine that is not what it should be.
type OrderWanted struct {
	Announcement Announcement `cbor:"announcement"`
}

// ShiftWanted asks the leader to give an engine another role, because demand has shifted.
type ShiftWanted struct {
	Assignment Assignment `cbor:"assignment"`
}

// Holding tells a dispatcher now and then which attempts of a pool an entry host has, so that what was lost on the way
// is found on both sides.
type Holding struct {
	Pool     PoolID      `cbor:"pool"`
	Attempts []AttemptID `cbor:"attempts"`
}

// HoldingUnknown tells an entry host which of its running attempts the dispatcher does not know.
type HoldingUnknown struct {
	Attempts []AttemptID `cbor:"attempts"`
}

// UpstreamNews forwards an upstream's words to its pool's dispatcher.
type UpstreamNews struct {
	Announcement *Announcement `cbor:"announcement,omitempty"`
	Report       *Report       `cbor:"report,omitempty"`
}

// UpstreamList tells an entry host which upstreams were heard lately, where each entry host keeps its own ledger.
type UpstreamList struct {
	Heard []HeardUpstream `cbor:"heard"`
	Gone  []UpstreamGone  `cbor:"gone,omitempty"`
}

// HeardUpstream is an announcement with its age at the sender.
type HeardUpstream struct {
	Announcement Announcement  `cbor:"announcement"`
	Age          time.Duration `cbor:"age"`
}
