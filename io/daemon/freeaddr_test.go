package daemon_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/daemon"
)

// An address must not be returned twice, and not be one that the kernel gives to an outgoing connection: a host that
// finds its port in use exits, and the replicas that wait for it do not elect a leader.
func TestFreeAddrIsNotTakenByOthers(t *testing.T) {
	const firstEphemeralPort = 32_768
	seen := map[netip.AddrPort]bool{}
	for range 2000 {
		addr, err := daemon.FreeAddr()
		require.NoError(t, err)
		require.False(t, seen[addr], "%v is returned twice", addr)
		seen[addr] = true
		require.True(t, addr.Addr().IsLoopback())
		require.Less(t, addr.Port(), uint16(firstEphemeralPort))
	}
}
