package once

import (
	"maps"
	"slices"
	"time"

	"oleanderlever/core"
)

const (
	// recordRetention is how long a call's record is kept and a resend with its key is recognized.
	recordRetention = 24 * time.Hour
	// maxResponseBytes limits the total size of the stored response bodies.
	maxResponseBytes = 64 << 20
	// hostMissingTimeout is how long a host may be missing before the outcome of its calls is recorded as unknown.
	hostMissingTimeout = 5 * time.Second
)

// recordStore is the replicated store of idempotency records.
//
// The intent is committed before the first byte of a call is sent, and the outcome after its end. The upstream can't
// be asked for the outcome, since plain services offer no such query. Resends can't be pinned to the first host, since
// it may fail.
type recordStore struct {
	maxRecords int
	records    map[core.IdempotencyKey]core.IdempotencyRecord
	// byAge holds the keys of the records, oldest first.
	byAge         []core.IdempotencyKey
	responseBytes int
}

// apply applies a committed record with the same result on every replica, and returns the record that the key has now.
// It returns an empty record if the store is full.
func (s *recordStore) apply(r core.IdempotencyRecord) core.IdempotencyRecord {
	s.expire(r.RecordedAt)
	old, ok := s.records[r.Key]
	switch {
	case !ok:
		if len(s.records) >= s.maxRecords {
			return core.IdempotencyRecord{}
		}
		s.byAge = append(s.byAge, r.Key)
	case old.Attempt == r.Attempt:
		if !supersedes(old.State, r.State) {
			return old
		}
		r.RecordedAt = old.RecordedAt
	case old.State == core.IdempotencyNotExecuted && r.State == core.IdempotencyIntent && old.ContentHash == r.ContentHash:
		r.RecordedAt = old.RecordedAt
	default:
		return old
	}
	s.put(r)
	return r
}

// supersedes reports whether an attempt's next state replaces its previous one. Certain outcomes are final. An
// unknown outcome may still become known, since the call's host may only have been isolated from the leader.
func supersedes(previous, next core.IdempotencyState) bool {
	switch previous {
	case core.IdempotencyIntent:
		return next != core.IdempotencyIntent
	case core.IdempotencyUnknown:
		return next == core.IdempotencyDone || next == core.IdempotencyNotExecuted
	}
	return false
}

func (s *recordStore) put(r core.IdempotencyRecord) {
	s.responseBytes -= len(s.records[r.Key].Response.Body)
	if s.responseBytes+len(r.Response.Body) > maxResponseBytes {
		r.Response = core.StoredResponse{Status: r.Response.Status, TooLarge: true}
	}
	s.responseBytes += len(r.Response.Body)
	s.records[r.Key] = r
}

// expire drops the records past their retention. It uses the leader's times from the log instead of the local clock, so
// that every replica drops the same records.
func (s *recordStore) expire(at time.Time) {
	n := 0
	for n < len(s.byAge) && at.Sub(s.records[s.byAge[n]].RecordedAt) > recordRetention {
		s.responseBytes -= len(s.records[s.byAge[n]].Response.Body)
		delete(s.records, s.byAge[n])
		n++
	}
	s.byAge = slices.Delete(s.byAge, 0, n)
}

func (s *recordStore) save(snapshot *core.Snapshot) {
	for _, k := range s.byAge {
		snapshot.Idempotency = append(snapshot.Idempotency, s.records[k])
	}
}

func (s *recordStore) load(snapshot *core.Snapshot) {
	*s = recordStore{maxRecords: s.maxRecords, records: map[core.IdempotencyKey]core.IdempotencyRecord{}}
	for _, r := range snapshot.Idempotency {
		s.byAge = append(s.byAge, r.Key)
		s.put(r)
	}
}

// openIntents returns the records whose call may still be running, in order of their keys.
func (s *recordStore) openIntents() []core.IdempotencyRecord {
	var out []core.IdempotencyRecord
	for _, k := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[k].State == core.IdempotencyIntent {
			out = append(out, s.records[k])
		}
	}
	return out
}
