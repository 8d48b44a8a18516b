package replica

import (
	"slices"

	"oleanderlever/core"
)

// entryLog is the last snapshot and the log entries after it.
type entryLog struct {
	// snapshotIndex and snapshotTerm are those of the last entry that the snapshot covers.
	snapshotIndex    core.LogIndex
	snapshotTerm     core.Epoch
	snapshotReplicas core.ReplicaSet
	entries          []core.Entry
	snapshot         *core.Snapshot
}

func (l *entryLog) lastIndex() core.LogIndex { return l.snapshotIndex + core.LogIndex(len(l.entries)) }

func (l *entryLog) lastTerm() core.Epoch {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of an entry, and false if the log has not reached the entry or no longer contains it.
func (l *entryLog) termAt(i core.LogIndex) (core.Epoch, bool) {
	if i == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if i < l.snapshotIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.snapshotIndex-1].Epoch, true
}

// entriesFrom returns entries from an index on, at least one and otherwise at most maxBytes.
func (l *entryLog) entriesFrom(i core.LogIndex, maxBytes int) []core.Entry {
	rest := l.entries[i-l.snapshotIndex-1:]
	size := 0
	for n := range rest {
		size += entryOverheadBytes + len(rest[n].Idempotency.Response.Body) + documentSizeRatio*sourceBytes(&rest[n])
		if n > 0 && size > maxBytes {
			return slices.Clone(rest[:n])
		}
	}
	return slices.Clone(rest)
}

const (
	// entryOverheadBytes is the estimated size of an entry without the response body or document that it may contain.
	entryOverheadBytes = 256
	// documentSizeRatio is the estimated size of a document, which has the operator's text and what it was decoded to, relative
	// to the text.
	documentSizeRatio = 2
)

// sourceBytes returns the size in bytes of the text of the configuration document that an entry may contain.
func sourceBytes(e *core.Entry) int {
	if d := e.Command.Change.Document; d != nil {
		return len(d.Source)
	}
	return 0
}

// merge adds the entries that follow prev, after it has removed conflicting ones, and returns the entries that are new.
func (l *entryLog) merge(prev core.LogIndex, entries []core.Entry) []core.Entry {
	for n := range entries {
		i := prev + core.LogIndex(n) + 1
		if i <= l.snapshotIndex {
			continue
		}
		if term, ok := l.termAt(i); ok && term == entries[n].Epoch {
			continue
		}
		l.entries = append(l.entries[:i-l.snapshotIndex-1:i-l.snapshotIndex-1], entries[n:]...)
		return entries[n:]
	}
	return nil
}

// compactTo replaces the entries that a snapshot covers with the snapshot.
func (l *entryLog) compactTo(s *core.Snapshot) {
	if s.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = slices.Clone(l.entries[s.Index-l.snapshotIndex:])
	}
	l.snapshotIndex, l.snapshotTerm, l.snapshotReplicas, l.snapshot = s.Index, s.Epoch, s.Replicas, s
}

// replicaSet returns the latest replica set in the log, committed or not, and the index of its entry.
func (l *entryLog) replicaSet() (core.ReplicaSet, core.LogIndex) {
	for n := len(l.entries) - 1; n >= 0; n-- {
		if l.entries[n].Kind == core.EntryReplicaSet {
			return l.entries[n].Replicas, l.entries[n].Index
		}
	}
	return l.snapshotReplicas, l.snapshotIndex
}

// replicaSetAt returns the replica set as of an index.
func (l *entryLog) replicaSetAt(i core.LogIndex) core.ReplicaSet {
	for n := int(i-l.snapshotIndex) - 1; n >= 0; n-- {
		if l.entries[n].Kind == core.EntryReplicaSet {
			return l.entries[n].Replicas
		}
	}
	return l.snapshotReplicas
}

// documentBytes returns the total size in bytes of the configuration documents in the log, which are the only large
// part of it.
func (l *entryLog) documentBytes() int {
	n := 0
	for i := range l.entries {
		n += sourceBytes(&l.entries[i])
	}
	return n
}
