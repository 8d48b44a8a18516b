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
	// greetingPrefix starts the first line of a connection; the hosts' secret and a newline follow it.
	greetingPrefix = "oleanderlever/1 "
	// maxGreetingBytes limits the length of the first line.
	maxGreetingBytes = 512
	// maxBatchBytes limits the size of a batch, both as received and after decompression.
	maxBatchBytes = 64 << 20
	lengthBytes   = 4
	// minCompressBytes is the smallest size of a batch that is compressed; smaller ones gain little.
	minCompressBytes = 2048
	// compressedFlag is set in the length of a compressed batch.
	compressedFlag = 1 << 31
)

// probeFrame is a frame without a batch; its receiver responds with the byte probeResponse.
var (
	probeFrame    = make([]byte, lengthBytes)
	probeResponse = []byte{1}
)

// errGreetingMismatch means that the remote end speaks another protocol or uses another secret.
var errGreetingMismatch = errors.New("the remote end is not a host, or uses another secret")

// greetingLine returns the first line of a connection.
func greetingLine(secret string) []byte { return []byte(greetingPrefix + secret + "\n") }

// readGreeting reads and verifies the first line. The comparison takes constant time, so that the time reveals nothing
// about the secret.
func readGreeting(br *bufio.Reader, secret string) error {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return errors.Wrap(err, "read greeting")
	}
	if len(line) > maxGreetingBytes || subtle.ConstantTimeCompare(line, greetingLine(secret)) != 1 {
		return errGreetingMismatch
	}
	return nil
}

// appendFrame appends a length-prefixed batch to out.
func appendFrame(out []byte, b *Batch) ([]byte, error) {
	start := len(out)
	out = append(out, make([]byte, lengthBytes)...)
	out, err := proto.MarshalOptions{}.MarshalAppend(out, b)
	if err != nil {
		return nil, errors.Wrap(err, "encode batch")
	}
	body := out[start+lengthBytes:]
	if len(body) < minCompressBytes {
		binary.BigEndian.PutUint32(out[start:], uint32(len(body)))
		return out, nil
	}
	deflated, err := compress(body)
	if err != nil {
		return nil, err
	}
	out = append(out[:start+lengthBytes], deflated...)
	binary.BigEndian.PutUint32(out[start:], uint32(len(deflated))|compressedFlag)
	return out, nil
}

// maxConcurrentCompressions limits the memory for compression: each batch needs a megabyte, and a new configuration is
// sent to all hosts at the same time.
const maxConcurrentCompressions = 2

var compressionSlots = make(chan struct{}, maxConcurrentCompressions)

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

func compress(body []byte) ([]byte, error) {
	compressionSlots <- struct{}{}
	defer func() { <-compressionSlots }()
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
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
		err = errors.Newf("batch is larger than %d bytes", maxBatchBytes)
	}
	return out, errors.Wrap(err, "decompress batch")
}

// readLength waits for the next frame and returns the length in its header.
func readLength(br *bufio.Reader) (uint32, error) {
	var length [lengthBytes]byte
	_, err := io.ReadFull(br, length[:])
	return binary.BigEndian.Uint32(length[:]), err
}

// readFrame reads the rest of a frame and returns its batch, or nil for a probe. buf is reused for the next call; it
// grows as the bytes arrive, since the announced length may be false.
func readFrame(br *bufio.Reader, header uint32, buf *bytes.Buffer) (*Batch, error) {
	if header == 0 {
		return nil, nil
	}
	n := int64(header &^ compressedFlag)
	if n > maxBatchBytes {
		return nil, errors.Newf("batch has %d bytes; the limit is %d", n, maxBatchBytes)
	}
	buf.Reset()
	if _, err := io.CopyN(buf, br, n); err != nil {
		return nil, errors.Wrap(noEOF(err), "read batch")
	}
	body := buf.Bytes()
	if header&compressedFlag != 0 {
		inflated, err := decompress(body)
		if err != nil {
			return nil, err
		}
		body = inflated
	}
	b := &Batch{}
	return b, errors.Wrap(proto.Unmarshal(body, b), "decode batch")
}

// noEOF converts the end of the connection within a frame to an error.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
