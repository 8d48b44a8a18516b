package core

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error; every error that leaves the system has one.
type Kind uint8

// The error kinds. Append only: hosts of different releases exchange these numbers.
const (
	KindNone Kind = iota
	KindBadRequest
	KindBodyTooLarge
	KindNoKey
	KindBadKey
	KindNoRoute
	KindUnknownModel
	KindRateLimited
	KindOverloaded
	KindNoUpstream
	KindNotReady
	KindDeadlineExceeded
	KindUpstreamRefused
	KindUpstreamFailed
	KindOutcomeUnknown
	KindIdempotencyConflict
	KindIdempotencyInProgress
	KindVersionConflict
	KindNoLeader
	KindNotFound
	KindForbidden
	KindCancelled
	KindInternal
	// KindMisdirected means that an upstream has a different identity or role than announced.
	KindMisdirected
	// KindQuarantined means that the request, or a part of its prompt, has crashed upstreams.
	KindQuarantined
	// KindUnreachable means that no connection to the upstream could be opened, so that no byte of the request reached it.
	KindUnreachable
	// KindVersionUnavailable means that no upstream may continue a stream: those of the software version that began it are gone, or
	// that version is not known.
	KindVersionUnavailable
	kindCount
)

// KindInfo describes an error kind to clients.
type KindInfo struct {
	// Name is the kind's name in all API responses and logs.
	Name string
	// NotExecuted is true if the kind alone proves that the request was not executed.
	NotExecuted bool
	// RetryAfter is the suggested wait before a retry, or zero if waiting does not help.
	RetryAfter time.Duration
}

const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
	// quarantineRetryAfter is about as long as a quarantine.
	quarantineRetryAfter = 4 * time.Minute
)

// kindInfos is indexed by kind. Front ends map kinds to their own status codes.
var kindInfos = [kindCount]KindInfo{
	KindNone:                  {Name: "none"},
	KindBadRequest:            {Name: "badRequest", NotExecuted: true},
	KindBodyTooLarge:          {Name: "bodyTooLarge", NotExecuted: true},
	KindNoKey:                 {Name: "noKey", NotExecuted: true},
	KindBadKey:                {Name: "badKey", NotExecuted: true},
	KindNoRoute:               {Name: "noRoute", NotExecuted: true},
	KindUnknownModel:          {Name: "unknownModel", NotExecuted: true},
	KindRateLimited:           {Name: "overRate", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindOverloaded:            {Name: "overloaded", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindNoUpstream:            {Name: "noUpstream", NotExecuted: true, RetryAfter: longRetryAfter},
	KindNotReady:              {Name: "notReady", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindDeadlineExceeded:      {Name: "deadline"},
	KindUpstreamRefused:       {Name: "upstreamRefused"},
	KindUpstreamFailed:        {Name: "upstreamFailed"},
	KindOutcomeUnknown:        {Name: "outcomeUnknown"},
	KindIdempotencyConflict:   {Name: "onceConflict", NotExecuted: true},
	KindIdempotencyInProgress: {Name: "onceBusy", RetryAfter: shortRetryAfter},
	KindVersionConflict:       {Name: "versionConflict", NotExecuted: true},
	KindNoLeader:              {Name: "noLeader", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindNotFound:              {Name: "notFound", NotExecuted: true},
	KindForbidden:             {Name: "forbidden", NotExecuted: true},
	KindCancelled:             {Name: "cancelled"},
	KindInternal:              {Name: "internal"},
	KindMisdirected:           {Name: "misdirected"},
	KindUnreachable:           {Name: "unreachable", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindVersionUnavailable:    {Name: "versionUnavailable", NotExecuted: true, RetryAfter: shortRetryAfter},
	KindQuarantined:           {Name: "quarantined", NotExecuted: true, RetryAfter: quarantineRetryAfter},
}

// Kinds returns all kinds except KindNone.
func Kinds() []Kind {
	kinds := make([]Kind, 0, int(kindCount)-1)
	for k := KindNone + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Info returns the description of the kind; an unknown kind gets that of KindInternal.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return kindInfos[KindInternal]
	}
	return kindInfos[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Info().Name }

// Failure is an error with a kind.
type Failure struct {
	Kind    Kind   `cbor:"kind"    json:"kind"`
	Message string `cbor:"message" json:"message"`
	// NotExecuted is true only if no byte of an attempt can have reached an upstream, or the upstream said that it
	// did not execute the request.
	NotExecuted bool `cbor:"notRun" json:"notRun"`
	// RetryAfter is how long the caller should wait before it tries again; zero means the default of the kind.
	RetryAfter time.Duration `cbor:"retryAfter,omitempty" json:"-"`
	// UpstreamEnded is true if the upstream closed the connection of the attempt and nothing accepts connections at its
	// address: its process ended while it had the request.
	UpstreamEnded bool `cbor:"-" json:"-"`
}

// Error returns the kind's name and the message.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Message }

// Fail returns a Failure with a formatted message and the kind's NotExecuted.
func Fail(k Kind, format string, args ...any) *Failure {
	return &Failure{Kind: k, Message: fmt.Sprintf(format, args...), NotExecuted: k.Info().NotExecuted}
}

// FailureOf returns the Failure wrapped in an error, a KindInternal failure for any other error, and nil for nil.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return Fail(KindInternal, "%v", err)
}
