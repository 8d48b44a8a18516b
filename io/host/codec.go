package host

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
)

// wireType is a type of message with its number on the wire.
type wireType struct {
	number uint32
	goType reflect.Type
	decode func(body []byte) (core.Message, error)
}

func wire[T any](number uint32) wireType {
	return wireType{number: number, goType: reflect.TypeFor[T](), decode: decode[T]}
}

// wireTypes lists every type of message. Never change a number: hosts of two releases exchange them.
var wireTypes = []wireType{
	wire[core.Ping](1),
	wire[core.Pong](2),
	wire[core.VoteAsk](3),
	wire[core.VoteReply](4),
	wire[core.Append](5),
	wire[core.AppendReply](6),
	wire[core.InstallSnapshot](7),
	wire[core.FormAsk](8),
	wire[core.FormReply](9),
	wire[core.Formed](10),
	wire[core.LeaseAsk](11),
	wire[core.LeaseGrant](12),
	wire[core.LeaseHint](13),
	wire[core.LeaseRedirect](14),
	wire[core.CommandAsk](15),
	wire[core.CommandReply](16),
	wire[core.StatusAsk](17),
	wire[core.StatusReply](18),
	wire[core.OnceAsk](19),
	wire[core.OnceReply](20),
	wire[core.QuotaAsk](21),
	wire[core.QuotaGrant](22),
	wire[core.PlaceAsk](23),
	wire[core.Placed](24),
	wire[core.PlaceRefused](25),
	wire[core.PlaceDone](26),
	wire[core.PlaceDoneReply](27),
	wire[core.Claim](28),
	wire[core.UpstreamNews](29),
	wire[core.Holding](30),
	wire[core.HoldingUnknown](31),
	wire[core.OrderWanted](32),
	wire[core.TakeOver](33),
	wire[core.ShiftWanted](34),
	wire[core.UpstreamList](35),
	wire[core.PlaceQueued](36),
	wire[core.ClaimAsk](37),
	wire[core.Claims](38),
}

var (
	numbers  = map[reflect.Type]uint32{}
	decoders = map[uint32]func(body []byte) (core.Message, error){}
)

func init() {
	for _, w := range wireTypes {
		numbers[w.goType] = w.number
		decoders[w.number] = w.decode
	}
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

// Types returns how many types of message there are.
func Types() int { return len(wireTypes) }

// Encode turns a message into an envelope.
func Encode(m core.Message) (*Envelope, error) {
	n, ok := numbers[reflect.TypeOf(m)]
	if !ok {
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
	decode, ok := decoders[e.GetType()]
	if !ok {
		return nil, core.Fail(core.KindBadRequest, "message type %d is not known", e.GetType())
	}
	return decode(e.GetBody())
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
