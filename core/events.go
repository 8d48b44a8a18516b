package core

import "time"

// AcquireQuota requests the maximum number of tokens that a request may use.
type AcquireQuota struct {
	Request RequestID
	Account AccountID
	Cost    Tokens
	// MaxWait limits how long the request waits for tokens; zero means the default.
	MaxWait time.Duration
}

// QuotaAcquired is the event that a request has its tokens.
type QuotaAcquired struct{ Request RequestID }

// QuotaDenied is the event that a request gets no tokens.
type QuotaDenied struct {
	Request RequestID
	Failure *Failure
}

// CancelQuota cancels an AcquireQuota that is still queued.
type CancelQuota struct {
	Request RequestID
	Account AccountID
}

// RefundQuota returns the unused part of a charge.
type RefundQuota struct {
	Account AccountID
	Amount  Tokens
}

// AcquireIdempotencyKey requests permission to run a non-idempotent call.
type AcquireIdempotencyKey struct {
	Request     RequestID
	Attempt     AttemptID
	Key         IdempotencyKey
	ContentHash uint64
}

// IdempotencyKeyAcquired is the event that the intent to run the call is durable on a majority and belongs to the
// attempt.
type IdempotencyKeyAcquired struct{ Request RequestID }

// IdempotencyKeyDenied is the event that a call with the same key ran, is running or may have run, or that the key
// could not be acquired.
type IdempotencyKeyDenied struct {
	Request RequestID
	// StoredResponse is set if the response of the first call is known.
	StoredResponse *StoredResponse
	Failure        *Failure
}

// RecordOutcome records the outcome of a call; RecordOutcomeEnded follows once it is durable or the wait has timed
// out.
type RecordOutcome struct {
	Request     RequestID
	Key         IdempotencyKey
	ContentHash uint64
	Attempt     AttemptID
	State       IdempotencyState
	Response    StoredResponse
}

// RecordOutcomeEnded is the event that the wait for a durable outcome is over.
type RecordOutcomeEnded struct{ Request RequestID }

// ShareObservation is the event that a component wants to tell the other entry hosts what this host has observed.
type ShareObservation struct{ Observation Observation }

// ObservationReceived is the event that an observation of another host has arrived for the first time.
type ObservationReceived struct{ Item GossipItem }

// PassOn is the event that a component finds an observation of another host worth telling others.
type PassOn struct{ Item GossipItem }

// StreamCompleted is the event that a response to a prompt with these parts was complete.
type StreamCompleted struct{ PromptParts []uint64 }

// StreamCrashed is the event that an engine closed the connection of a response at its start.
type StreamCrashed struct {
	Upstream    UpstreamID
	PromptParts []uint64
	// Fingerprint is that of the request, or zero if it is not known.
	Fingerprint uint64
}

// QuarantineChanged is the event that other quarantines than before are in force: a request whose prompt has all parts of one
// set is not sent to engines.
type QuarantineChanged struct{ PromptParts [][]uint64 }
