package core

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is one of the closed list of error kinds; every error that leaves the system has one.
type Kind uint8

// The closed list of error kinds. Append only: hosts of two releases exchange these numbers.
const (
	KindNone Kind = iota
	KindBadRequest
	KindBodyTooLarge
	KindNoKey
	KindBadKey
	KindNoRoute
	KindUnknownModel
	KindOverRate
	KindOverloaded
	KindNoUpstream
	KindNotReady
	KindDeadline
	KindUpstreamRefused
	KindUpstreamFailed
	KindOutcomeUnknown
	KindOnceConflict
	KindOnceBusy
	KindVersionConflict
	KindNoLeader
	KindNotFound
	KindForbidden
	KindCancelled
	KindInternal
	// KindMisdirected means that an upstream is another one, or does something else, than it said.
	KindMisdirected
	kindCount
)

// Answer is what a kind tells the one who asked.
type Answer struct {
	// Name is the kind's name in every own format.
	Name string
	// NotRun is true where the kind alone proves that nothing ran.
	NotRun bool
	// RetryAfter is how long a wait is suggested, or zero where waiting does not help.
	RetryAfter time.Duration
}

const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// answers is the table from kind to answer. Front ends map the kind to their own status codes beside it.
var answers = [kindCount]Answer{
	KindNone:            {Name: "none"},
	KindBadRequest:      {Name: "badRequest", NotRun: true},
	KindBodyTooLarge:    {Name: "bodyTooLarge", NotRun: true},
	KindNoKey:           {Name: "noKey", NotRun: true},
	KindBadKey:          {Name: "badKey", NotRun: true},
	KindNoRoute:         {Name: "noRoute", NotRun: true},
	KindUnknownModel:    {Name: "unknownModel", NotRun: true},
	KindOverRate:        {Name: "overRate", NotRun: true, RetryAfter: retrySoon},
	KindOverloaded:      {Name: "overloaded", NotRun: true, RetryAfter: retrySoon},
	KindNoUpstream:      {Name: "noUpstream", NotRun: true, RetryAfter: retryLater},
	KindNotReady:        {Name: "notReady", NotRun: true, RetryAfter: retrySoon},
	KindDeadline:        {Name: "deadline"},
	KindUpstreamRefused: {Name: "upstreamRefused"},
	KindUpstreamFailed:  {Name: "upstreamFailed"},
	KindOutcomeUnknown:  {Name: "outcomeUnknown"},
	KindOnceConflict:    {Name: "onceConflict", NotRun: true},
	KindOnceBusy:        {Name: "onceBusy", RetryAfter: retrySoon},
	KindVersionConflict: {Name: "versionConflict", NotRun: true},
	KindNoLeader:        {Name: "noLeader", NotRun: true, RetryAfter: retrySoon},
	KindNotFound:        {Name: "notFound", NotRun: true},
	KindForbidden:       {Name: "forbidden", NotRun: true},
	KindCancelled:       {Name: "cancelled"},
	KindInternal:        {Name: "internal"},
	KindMisdirected:     {Name: "misdirected"},
}

// Kinds returns every kind but KindNone, in the order of the list.
func Kinds() []Kind {
	all := make([]Kind, 0, int(kindCount)-1)
	for k := KindNone + 1; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// Answer returns the kind's row of the table; a number outside the list counts as KindInternal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[KindInternal]
	}
	return answers[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Answer().Name }

// Failure is an error with a kind.
type Failure struct {
	Kind    Kind   `cbor:"kind"    json:"kind"`
	Message string `cbor:"message" json:"message"`
	// NotRun is true only where no byte of an attempt can have reached an upstream, or the upstream said so.
	NotRun bool `cbor:"notRun" json:"notRun"`
}

// Error returns the kind's name and the message.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Message }

// Fail returns a Failure whose NotRun is the one of the kind's row.
func Fail(k Kind, format string, args ...any) *Failure {
	return &Failure{Kind: k, Message: fmt.Sprintf(format, args...), NotRun: k.Answer().NotRun}
}

// FailureOf returns the Failure inside an error, KindInternal where it has none, and nil for nil.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Fail(KindInternal, "%v", err)
}
