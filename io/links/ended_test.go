package links_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/links"
)

// An upstream that only closed one connection must not be taken for one whose process has ended.
func TestListeningUpstreamRefusesNoConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.False(t, links.RefusesConnections(addr))
	require.NoError(t, l.Close())
	require.True(t, links.RefusesConnections(addr))
}
