package host_test

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"oleanderlever/core"
	"oleanderlever/io/host"
)

// A connection that sends anything after its greeting must not stop the host from receiving others' messages.
func FuzzFrames(f *testing.F) {
	e, err := host.Encode(core.LeaseHint{Version: 7})
	require.NoError(f, err)
	body, err := proto.Marshal(&host.Batch{From: "other", Messages: []*host.Envelope{e}})
	require.NoError(f, err)
	valid := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	f.Add(valid)
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 1, 9})
	f.Add([]byte{0x83, 0xff, 0xff, 0xff, 1, 2, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	h := newTestHost(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		conn, err := net.Dial("tcp", h.addr.String())
		require.NoError(t, err)
		_, _ = conn.Write(append([]byte("oleanderlever/1 "+secret+"\n"), text...))
		_ = conn.Close()
		good, err := net.Dial("tcp", h.addr.String())
		require.NoError(t, err)
		_, err = good.Write(append([]byte("oleanderlever/1 "+secret+"\n"), valid...))
		require.NoError(t, err)
		defer func() { _ = good.Close() }()
		for {
			select {
			case m := <-h.received:
				if m.Message == (core.LeaseHint{Version: 7}) {
					return
				}
			case <-time.After(5 * time.Second):
				require.FailNow(t, "the message did not arrive")
			}
		}
	})
}
