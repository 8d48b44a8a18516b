package host

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
)

// wireType describes a message type and its number on the wire.
type wireType struct {
	number uint32
	goType reflect.Type
	decode func(body []byte) (core.Message, error)
}

func newWireType[T any](number uint32) wireType {
	return wireType{number: number, goType: reflect.TypeFor[T](), decode: decode[T]}
}

// wireTypes lists all message types. Numbers must not change: hosts of different releases exchange them.
var wireTypes = []wireType{
	newWireType[core.Ping](1),
	newWireType[core.Pong](2),
	newWireType[core.VoteRequest](3),
	newWireType[core.VoteResponse](4),
	newWireType[core.AppendRequest](5),
	newWireType[core.AppendResponse](6),
	newWireType[core.InstallSnapshotRequest](7),
	newWireType[core.BootstrapRequest](8),
	newWireType[core.BootstrapResponse](9),
	newWireType[core.InitialReplicaSet](10),
	newWireType[core.LeaseRequest](11),
	newWireType[core.LeaseGrant](12),
	newWireType[core.LeaseHint](13),
	newWireType[core.LeaseRedirect](14),
	newWireType[core.CommandRequest](15),
	newWireType[core.CommandResponse](16),
	newWireType[core.StatusRequest](17),
	newWireType[core.StatusResponse](18),
	newWireType[core.IdempotencyRequest](19),
	newWireType[core.IdempotencyResponse](20),
	newWireType[core.QuotaRequest](21),
	newWireType[core.QuotaGrant](22),
	newWireType[core.PlacementRequest](23),
	newWireType[core.PlacementGrant](24),
	newWireType[core.PlacementRefused](25),
	newWireType[core.PlacementRelease](26),
	newWireType[core.PlacementReleaseAck](27),
	newWireType[core.PlacementClaim](28),
	newWireType[core.UpstreamUpdate](29),
	newWireType[core.ActiveAttempts](30),
	newWireType[core.UnknownAttempts](31),
	newWireType[core.AssignmentMismatch](32),
	newWireType[core.TimeoutNow](33),
	newWireType[core.RoleChangeRequest](34),
	newWireType[core.UpstreamList](35),
	newWireType[core.PlacementQueued](36),
	newWireType[core.PlacementClaimsRequest](37),
	newWireType[core.PlacementClaimsResponse](38),
	newWireType[core.ConfigRequest](39),
	newWireType[core.ConfigUpdate](40),
	newWireType[core.UpstreamListRequest](41),
	newWireType[core.Gossip](43),
	newWireType[core.QuarantineList](44),
	newWireType[core.SoundParts](45),
	newWireType[core.UpstreamLimits](46),
	newWireType[core.StreamOrigin](47),
	newWireType[core.OriginQuery](48),
	newWireType[core.OriginReply](49),
}

var (
	typeNumbers = map[reflect.Type]uint32{}
	decoders    = map[uint32]func(body []byte) (core.Message, error){}
)

func init() {
	for _, w := range wireTypes {
		typeNumbers[w.goType] = w.number
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

// MessageTypeCount returns the number of message types.
func MessageTypeCount() int { return len(wireTypes) }

// Encode encodes a message as an envelope. It returns an error if m is not a message type.
func Encode(m core.Message) (*Envelope, error) {
	n, ok := typeNumbers[reflect.TypeOf(m)]
	if !ok {
		return nil, errors.Newf("%T is not a message type", m)
	}
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	return &Envelope{Type: n, Body: body}, nil
}

// Decode decodes and validates the message in an envelope. Every error that it returns is of KindBadRequest.
func Decode(e *Envelope) (core.Message, error) {
	decode, ok := decoders[e.GetType()]
	if !ok {
		return nil, core.Fail(core.KindBadRequest, "unknown message type %d", e.GetType())
	}
	return decode(e.GetBody())
}

func decode[T any](body []byte) (core.Message, error) {
	var m T
	if err := decoder.Unmarshal(body, &m); err != nil {
		return nil, core.Fail(core.KindBadRequest, "%T: %v", m, err)
	}
	if err := core.ValidateMessage(m); err != nil {
		return nil, err
	}
	return m, nil
}
