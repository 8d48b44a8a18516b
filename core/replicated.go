package core

import "time"

// EntryKind selects the field of an Entry that is set.
type EntryKind uint8

// The kinds of log entry.
const (
	EntryNoop EntryKind = iota + 1
	EntryCommand
	EntryIdempotency
	EntryReplicaSet
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index       LogIndex          `cbor:"index"`
	Epoch       Epoch             `cbor:"epoch"`
	Kind        EntryKind         `cbor:"kind"`
	Command     Command           `cbor:"command,omitzero"`
	Idempotency IdempotencyRecord `cbor:"once,omitzero"`
	Replicas    ReplicaSet        `cbor:"keepers,omitzero"`
}

// Command is a configuration change by an operator.
type Command struct {
	ID CommandID `cbor:"id"`
	// ExpectedVersion is the version that the operator saw; the command fails if the current version
	// is another one. ChangeReplaceConfig ignores it, and so do evacuation changes if it is AnyVersion.
	ExpectedVersion ConfigVersion `cbor:"expect"`
	Change          Change        `cbor:"change"`
	// Operator is the name of the operator, for the command history.
	Operator string `cbor:"operator"`
	// ReceivedAt is when the leader received the command, by its wall clock; it is used for the command history
	// only.
	ReceivedAt time.Time `cbor:"at"`
}

// CommandResult is the final result of a command.
type CommandResult struct {
	ID         CommandID     `cbor:"id"`
	Version    ConfigVersion `cbor:"version"`
	Failure    *Failure      `cbor:"failure,omitempty"`
	Summary    string        `cbor:"summary"`
	Operator   string        `cbor:"who"`
	ReceivedAt time.Time     `cbor:"at"`
}

// Replica is a member of the replica set, with the incarnation of its data directory.
type Replica struct {
	Host  HostID `cbor:"host"`
	Disk  DiskID `cbor:"disk"`
	Voter bool   `cbor:"voter"`
}

// ReplicaSet lists the hosts that store the replicated log.
type ReplicaSet struct {
	Members []Replica `cbor:"members"`
}

// HardState is the state that a replica must persist before it responds to others.
type HardState struct {
	Epoch Epoch  `cbor:"epoch"`
	Vote  HostID `cbor:"vote"`
}

// Snapshot is the replicated state up to and including an entry.
type Snapshot struct {
	Index       LogIndex            `cbor:"index"`
	Epoch       Epoch               `cbor:"epoch"`
	Replicas    ReplicaSet          `cbor:"keepers"`
	Config      Config              `cbor:"tables"`
	Commands    []CommandResult     `cbor:"commands"`
	Idempotency []IdempotencyRecord `cbor:"once"`
}

// StoredState is the contents of a data directory.
type StoredState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
	Notes    Notes
}

// LastReplicaSet returns the newest replica set in the data directory.
func (state *StoredState) LastReplicaSet() ReplicaSet {
	for i := len(state.Entries) - 1; i >= 0; i-- {
		if state.Entries[i].Kind == EntryReplicaSet {
			return state.Entries[i].Replicas
		}
	}
	if state.Snapshot != nil {
		return state.Snapshot.Replicas
	}
	return ReplicaSet{}
}

// Persist makes a state durable; Persisted with the same sequence number follows after the sync.
type Persist struct {
	Seq uint64
	// Hard replaces the stored hard state.
	Hard HardState
	// Entries replaces the stored entries from the index of its first entry on.
	Entries []Entry
	// Snapshot replaces the stored snapshot and all entries up to its index.
	Snapshot *Snapshot
	// Complete means that Snapshot and Entries are the whole log and replace everything stored.
	Complete bool
}

// Persisted is the event that everything up to a sequence number is durable.
type Persisted struct{ Seq uint64 }

// DiskFailed is the event that a write failed, so that later writes may not be durable either. The replica neither votes
// nor acknowledges until a complete Persist is durable; writes that are not complete are ignored until then.
type DiskFailed struct{ Reason string }

// Committed is the event that an entry is committed; every replica sees the same entries in the same order.
type Committed struct{ Entry Entry }

// Propose asks the leader to append an entry; ProposeFailed follows at once on any other host.
type Propose struct{ Entry Entry }

// ProposeFailed is the event that an entry was not appended.
type ProposeFailed struct {
	Entry   Entry
	Failure *Failure
}

// LeaderChanged is the event that this replica learned of another leader, or of none.
type LeaderChanged struct {
	Leader HostID
	Epoch  Epoch
	// Self is true if this host is the leader and has applied all entries of earlier terms.
	Self bool
}

// VerifyLeader asks the leader to verify its leadership with a majority, by a round of heartbeats that starts now.
type VerifyLeader struct{ Tag uint64 }

// LeaderVerified is the event that a majority verified the leadership after the VerifyLeader with this tag.
type LeaderVerified struct{ Tag uint64 }

// IdempotencyState is the state of a non-idempotent call.
type IdempotencyState uint8

// The states of a non-idempotent call.
const (
	IdempotencyIntent IdempotencyState = iota + 1
	IdempotencyDone
	IdempotencyUnknown
	IdempotencyNotExecuted
)

// IdempotencyRecord is the durable record of a non-idempotent call.
type IdempotencyRecord struct {
	Key         IdempotencyKey   `cbor:"key"`
	ContentHash uint64           `cbor:"body"`
	State       IdempotencyState `cbor:"state"`
	Attempt     AttemptID        `cbor:"attempt"`
	Host        HostID           `cbor:"host"`
	Boot        uint64           `cbor:"boot"`
	// RecordedAt is when the leader first recorded the call, by its wall clock; the record's retention counts from
	// it.
	RecordedAt time.Time      `cbor:"at"`
	Response   StoredResponse `cbor:"answer,omitzero"`
}

// StoredResponse is an upstream's response, stored to answer a resent request.
type StoredResponse struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"contentType"`
	Body        []byte `cbor:"body"`
	// TooLarge means that the response was sent to the first caller but takes too much space to store.
	TooLarge bool `cbor:"tooLarge"`
}
