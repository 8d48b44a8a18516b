package operator

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"oleanderlever/core"
)

// twirpCodes maps error kinds to Twirp error codes; other kinds are internal errors.
var twirpCodes = map[core.Kind]twirp.ErrorCode{
	core.KindBadRequest:      twirp.InvalidArgument,
	core.KindVersionConflict: twirp.Aborted,
	core.KindNoLeader:        twirp.Unavailable,
	core.KindNotFound:        twirp.NotFound,
	core.KindForbidden:       twirp.PermissionDenied,
	core.KindOverloaded:      twirp.ResourceExhausted,
	core.KindOutcomeUnknown:  twirp.DeadlineExceeded,
}

const (
	metaKind        = "kind"
	metaNotExecuted = "notRun"
)

// toTwirpError converts a failure to a Twirp error with the kind in its metadata.
func toTwirpError(f *core.Failure) error {
	code, ok := twirpCodes[f.Kind]
	if !ok {
		code = twirp.Internal
	}
	return twirp.NewError(code, f.Message).
		WithMeta(metaKind, f.Kind.String()).
		WithMeta(metaNotExecuted, strconv.FormatBool(f.NotExecuted))
}

// KindOf returns the kind of an error from the operator API, and false for errors without a kind such as transport
// errors.
func KindOf(err error) (core.Kind, bool) {
	var te twirp.Error
	if !errors.As(err, &te) {
		return core.KindNone, false
	}
	for _, k := range core.Kinds() {
		if k.String() == te.Meta(metaKind) {
			return k, true
		}
	}
	return core.KindNone, false
}
