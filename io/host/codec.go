package host

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
)

// The numbers of the message types. Append only: hosts of two releases exchange them.
const (
	typePing uint32 = iota + 1
	typePong
	typeVoteAsk
	typeVoteReply
	typeAppend
	typeAppendReply
	typeInstallSnapshot
	typeFormAsk
	typeFormReply
	typeFormed
	typeLeaseAsk
	typeLeaseGrant
	typeLeaseHint
	typeLeaseRedirect
	typeCommandAsk
	typeCommandReply
	typeStatusAsk
	typeStatusReply
	typeOnceAsk
	typeOnceReply
	typeQuotaAsk
	typeQuotaGrant
	typePlaceAsk
	typePlaced
	typePlaceRefused
	typePlaceDone
	typePlaceDoneReply
	typeClaim
	typeUpstreamNews
	typeHolding
	typeHoldingUnknown
	typeOrderWanted
	typeTakeOver
	typeEnd
)

// typeOf returns the number of a message's type, or zero for what is no message.
func typeOf(m core.Message) uint32 {
	switch m.(type) {
	case core.Ping:
		return typePing
	case core.Pong:
		return typePong
	case core.VoteAsk:
		return typeVoteAsk
	case core.VoteReply:
		return typeVoteReply
	case core.Append:
		return typeAppend
	case core.AppendReply:
		return typeAppendReply
	case core.InstallSnapshot:
		return typeInstallSnapshot
	case core.FormAsk:
		return typeFormAsk
	case core.FormReply:
		return typeFormReply
	case core.Formed:
		return typeFormed
	case core.LeaseAsk:
		return typeLeaseAsk
	case core.LeaseGrant:
		return typeLeaseGrant
	case core.LeaseHint:
		return typeLeaseHint
	case core.LeaseRedirect:
		return typeLeaseRedirect
	}
	return typeOfService(m)
}

func typeOfService(m core.Message) uint32 {
	switch m.(type) {
	case core.CommandAsk:
		return typeCommandAsk
	case core.CommandReply:
		return typeCommandReply
	case core.StatusAsk:
		return typeStatusAsk
	case core.StatusReply:
		return typeStatusReply
	case core.OnceAsk:
		return typeOnceAsk
	case core.OnceReply:
		return typeOnceReply
	case core.QuotaAsk:
		return typeQuotaAsk
	case core.QuotaGrant:
		return typeQuotaGrant
	case core.PlaceAsk:
		return typePlaceAsk
	case core.Placed:
		return typePlaced
	case core.PlaceRefused:
		return typePlaceRefused
	case core.PlaceDone:
		return typePlaceDone
	case core.PlaceDoneReply:
		return typePlaceDoneReply
	case core.Claim:
		return typeClaim
	case core.UpstreamNews:
		return typeUpstreamNews
	case core.Holding:
		return typeHolding
	case core.HoldingUnknown:
		return typeHoldingUnknown
	case core.OrderWanted:
		return typeOrderWanted
	case core.TakeOver:
		return typeTakeOver
	}
	return 0
}

// decoders make a message of each type's CBOR.
var decoders = [typeEnd]func([]byte) (core.Message, error){
	typePing:            decode[core.Ping],
	typePong:            decode[core.Pong],
	typeVoteAsk:         decode[core.VoteAsk],
	typeVoteReply:       decode[core.VoteReply],
	typeAppend:          decode[core.Append],
	typeAppendReply:     decode[core.AppendReply],
	typeInstallSnapshot: decode[core.InstallSnapshot],
	typeFormAsk:         decode[core.FormAsk],
	typeFormReply:       decode[core.FormReply],
	typeFormed:          decode[core.Formed],
	typeLeaseAsk:        decode[core.LeaseAsk],
	typeLeaseGrant:      decode[core.LeaseGrant],
	typeLeaseHint:       decode[core.LeaseHint],
	typeLeaseRedirect:   decode[core.LeaseRedirect],
	typeCommandAsk:      decode[core.CommandAsk],
	typeCommandReply:    decode[core.CommandReply],
	typeStatusAsk:       decode[core.StatusAsk],
	typeStatusReply:     decode[core.StatusReply],
	typeOnceAsk:         decode[core.OnceAsk],
	typeOnceReply:       decode[core.OnceReply],
	typeQuotaAsk:        decode[core.QuotaAsk],
	typeQuotaGrant:      decode[core.QuotaGrant],
	typePlaceAsk:        decode[core.PlaceAsk],
	typePlaced:          decode[core.Placed],
	typePlaceRefused:    decode[core.PlaceRefused],
	typePlaceDone:       decode[core.PlaceDone],
	typePlaceDoneReply:  decode[core.PlaceDoneReply],
	typeClaim:           decode[core.Claim],
	typeUpstreamNews:    decode[core.UpstreamNews],
	typeHolding:         decode[core.Holding],
	typeHoldingUnknown:  decode[core.HoldingUnknown],
	typeOrderWanted:     decode[core.OrderWanted],
	typeTakeOver:        decode[core.TakeOver],
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

const (
	maxElements = 1 << 17
	maxNesting  = 16
)

func newDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		IndefLength: cbor.IndefLengthForbidden, TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode turns a message into an envelope.
func Encode(m core.Message) (*Envelope, error) {
	n := typeOf(m)
	if n == 0 {
		return nil, errors.Newf("%T is no message", m)
	}
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	return &Envelope{Type: n, Body: body}, nil
}

// Decode turns an envelope into a message that has checked itself; any fault in it is a KindBadRequest error.
func Decode(e *Envelope) (core.Message, error) {
	if e.GetType() >= typeEnd || decoders[e.GetType()] == nil {
		return nil, core.Fail(core.KindBadRequest, "message type %d is not known", e.GetType())
	}
	return decoders[e.GetType()](e.GetBody())
}

func decode[T any](body []byte) (core.Message, error) {
	var m T
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, core.Fail(core.KindBadRequest, "%T: %v", m, err)
	}
	if err := core.CheckMessage(m); err != nil {
		return nil, err
	}
	return m, nil
}
