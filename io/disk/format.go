package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"oleanderlever/core"
)

const (
	// headerBytes is the size of the header before the CBOR payload of a record: the payload's length, its CRC-32C and
	// the CRC-32C of both fields. The last one tells a corrupt length in the middle of a file from a torn write at its
	// end.
	headerBytes = 12
	// maxRecordBytes limits the payload of one record; a header with a greater length is corrupt.
	maxRecordBytes = 1 << 30
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// record is the payload of one record of a segment: the content of a core.Persist except its snapshot.
type record struct {
	Hard    core.HardState `cbor:"hard"`
	Entries []core.Entry   `cbor:"entries"`
}

var (
	errTorn    = errors.New("torn record at the end")
	errCorrupt = errors.New("corrupt record before the end")
)

// encMode encodes times with nanoseconds.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// appendRecord appends a record with the encoded value to buf.
func appendRecord(buf []byte, v any) ([]byte, error) {
	payload, err := encMode.Marshal(v)
	if err != nil {
		return buf, errors.Wrap(err, "encode record")
	}
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], crcTable))
	return append(append(buf, h[:]...), payload...), nil
}

// nextRecord returns the payload of the first record and the data after it. It returns errTorn if a crash during a
// write can have left the data in this state, and errCorrupt otherwise.
func nextRecord(data []byte) (payload, rest []byte, err error) {
	if len(data) < headerBytes {
		return nil, nil, errTorn
	}
	if crc32.Checksum(data[:8], crcTable) != binary.LittleEndian.Uint32(data[8:]) {
		if len(bytes.TrimRight(data, "\x00")) == 0 {
			return nil, nil, errTorn
		}
		return nil, nil, errCorrupt
	}
	size := int(binary.LittleEndian.Uint32(data[0:]))
	if size > maxRecordBytes {
		return nil, nil, errCorrupt
	}
	body := data[headerBytes:]
	if len(body) < size {
		return nil, nil, errTorn
	}
	if crc32.Checksum(body[:size], crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		if len(body) == size {
			return nil, nil, errTorn
		}
		return nil, nil, errCorrupt
	}
	return body[:size], body[size:], nil
}

// replay applies the records of a segment to state and returns the number of bytes before the first invalid record.
func replay(data []byte, state *core.StoredState) (int, error) {
	valid := 0
	for rest := data; len(rest) > 0; {
		payload, next, err := nextRecord(rest)
		if err != nil {
			return valid, err
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return valid, errors.Mark(errors.Wrap(err, "decode record"), errCorrupt)
		}
		if err := applyRecord(state, &r); err != nil {
			return valid, err
		}
		valid += len(rest) - len(next)
		rest = next
	}
	return valid, nil
}

// applyRecord appends a record's entries to the stored ones. An entry replaces the stored entries from its index on;
// entries that the snapshot includes are skipped.
func applyRecord(state *core.StoredState, r *record) error {
	state.Hard = r.Hard
	base := core.LogIndex(0)
	if state.Snapshot != nil {
		base = state.Snapshot.Index
	}
	for _, e := range r.Entries {
		if e.Index <= base {
			continue
		}
		pos := int(e.Index - base - 1)
		if pos > len(state.Entries) {
			return errors.Mark(errors.Newf("entry %d follows entry %d", e.Index, base+core.LogIndex(len(state.Entries))), errCorrupt)
		}
		state.Entries = append(state.Entries[:pos], e)
	}
	return nil
}
