package host

import (
	"bufio"
	"crypto/subtle"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// greeting begins a connection, followed by the hosts' secret and the end of the line.
	greeting = "oleanderlever/1 "
	// maxGreeting bounds the first line in bytes.
	maxGreeting = 512
	// maxBatchBytes bounds a batch.
	maxBatchBytes = 64 << 20
	lengthBytes   = 4
)

// errStranger tells that the other end does not speak as a host does, or not with the hosts' secret.
var errStranger = errors.New("the other end is no host")

// greet returns the first line of a connection.
func greet(secret string) []byte { return []byte(greeting + secret + "\n") }

// checkGreeting reads the first line, in a time that does not depend on how much of the secret is right.
func checkGreeting(br *bufio.Reader, secret string) error {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return errors.Wrap(err, "greeting")
	}
	if len(line) > maxGreeting || subtle.ConstantTimeCompare(line, greet(secret)) != 1 {
		return errStranger
	}
	return nil
}

// appendFrame adds a batch behind its length.
func appendFrame(out []byte, b *Batch) ([]byte, error) {
	at := len(out)
	out = append(out, make([]byte, lengthBytes)...)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, b)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-lengthBytes))
	return out, nil
}

// readFrame reads one batch into a buffer, which it returns for the next one.
func readFrame(br *bufio.Reader, buf []byte) (*Batch, []byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(br, length[:]); err != nil {
		return nil, buf, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > maxBatchBytes {
		return nil, buf, errors.Newf("a batch of %d bytes; the limit is %d", n, maxBatchBytes)
	}
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(br, buf[:n]); err != nil {
		return nil, buf, errors.Wrap(err, "batch")
	}
	b := &Batch{}
	return b, buf, errors.Wrap(proto.Unmarshal(buf[:n], b), "batch")
}
