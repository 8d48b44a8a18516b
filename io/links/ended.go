package links

import (
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections reports whether nothing accepts connections at an address. Where an upstream has just closed a connection,
// this tells that its process has ended from a connection that was reset and a response that was lost.
func RefusesConnections(addr netip.AddrPort) bool {
	conn, err := Open(addr, dialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.IsAny(err, syscall.ECONNREFUSED, syscall.EHOSTUNREACH)
}
