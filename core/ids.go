package core

import (
	"cmp"
	"fmt"

	"github.com/cockroachdb/errors"
)

// HostID identifies a host of the system.
type HostID string

// DiskID identifies one incarnation of a replica's data directory; a directory that was lost and created again has a
// new ID.
type DiskID string

// DataCentre names the failure domain of a host or an upstream.
type DataCentre string

// AccountID identifies a client account.
type AccountID string

// KeyID identifies an API key without revealing it.
type KeyID string

// PoolID identifies a group of interchangeable upstreams: the engines of a model or the instances of a plain service.
type PoolID string

// UpstreamID identifies an engine or an instance of a plain service.
type UpstreamID string

// RequestID identifies a caller's request.
type RequestID string

// CommandID identifies an operator command; a command that is sent again with the same ID gets the result of the
// first.
type CommandID string

// IdempotencyKey identifies a non-idempotent call within its client account and route.
type IdempotencyKey string

// ConfigVersion counts the accepted configuration changes; zero is the empty configuration.
type ConfigVersion uint64

// Epoch numbers the terms of the leaders and serves as a fencing token.
type Epoch uint64

// LogIndex is the position of an entry in the replicated log, from 1.
type LogIndex uint64

// Tokens is a number of model tokens.
type Tokens int64

// AttemptID identifies one attempt of a request at an upstream; numbers start at 1 for each request.
type AttemptID struct {
	Request RequestID `cbor:"request" json:"request"`
	Number  int       `cbor:"number"  json:"number"`
}

// String returns "request/number", the form in which upstreams echo an attempt.
func (a AttemptID) String() string { return fmt.Sprintf("%s/%d", a.Request, a.Number) }

// Compare orders attempts by request, then by number.
func (a AttemptID) Compare(b AttemptID) int {
	if c := cmp.Compare(a.Request, b.Request); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// maxNameBytes limits names received from outside.
const maxNameBytes = 128

// ValidateName returns a KindBadRequest error unless the name is 1 to 128 bytes of printable ASCII without spaces.
func ValidateName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Wrapf(Fail(KindBadRequest, "%s: must be 1 to %d bytes, got %d", field, maxNameBytes, len(name)), "checkName")
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return Fail(KindBadRequest, "%s: byte %q is not allowed", field, c)
		}
	}
	return nil
}
