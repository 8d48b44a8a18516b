package host

import (
	"bufio"
	"bytes"
	"compress/flate"
	"crypto/subtle"
	"encoding/binary"
	"io"
	"sync"

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
	// compressFrom is the size in bytes from which a batch is compressed; smaller ones gain little.
	compressFrom = 2048
	// compressed marks the length of a compressed batch.
	compressed = 1 << 31
)

// probe is a frame without a batch; who reads it answers with one byte.
var (
	probe  = make([]byte, lengthBytes)
	answer = []byte{1}
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
	body := out[at+lengthBytes:]
	if len(body) < compressFrom {
		binary.BigEndian.PutUint32(out[at:], uint32(len(body)))
		return out, nil
	}
	small, err := compress(body)
	if err != nil {
		return nil, err
	}
	out = append(out[:at+lengthBytes], small...)
	binary.BigEndian.PutUint32(out[at:], uint32(len(small))|compressed)
	return out, nil
}

// maxCompressing bounds the batches that are compressed at once: each takes a megabyte, and a new configuration goes to all
// hosts at the same time.
const maxCompressing = 2

var compressing = make(chan struct{}, maxCompressing)

var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

func compress(body []byte) ([]byte, error) {
	compressing <- struct{}{}
	defer func() { <-compressing }()
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress batch")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress batch")
	}
	return out.Bytes(), nil
}

func decompress(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxBatchBytes+1))
	if err == nil && len(out) > maxBatchBytes {
		err = errors.Newf("a batch of more than %d bytes", maxBatchBytes)
	}
	return out, errors.Wrap(err, "decompress batch")
}

// readFrame reads one batch into a buffer, which it returns for the next one; the batch of a probe is nil.
func readFrame(br *bufio.Reader, buf []byte) (*Batch, []byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(br, length[:]); err != nil {
		return nil, buf, err
	}
	word := binary.BigEndian.Uint32(length[:])
	if word == 0 {
		return nil, buf, nil
	}
	n := int(word &^ compressed)
	if n > maxBatchBytes {
		return nil, buf, errors.Newf("a batch of %d bytes; the limit is %d", n, maxBatchBytes)
	}
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(br, buf[:n]); err != nil {
		return nil, buf, errors.Wrap(err, "batch")
	}
	body := buf[:n]
	if word&compressed != 0 {
		whole, err := decompress(body)
		if err != nil {
			return nil, buf, err
		}
		body = whole
	}
	b := &Batch{}
	return b, buf, errors.Wrap(proto.Unmarshal(body, b), "batch")
}
