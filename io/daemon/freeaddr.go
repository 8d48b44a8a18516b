package daemon

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports that FreeAddr returns. They are below the ephemeral ports of the kernel, so that no outgoing connection
// takes the port of a host before it starts or while it restarts.
const (
	firstFreePort = 10_000
	lastFreePort  = 30_000
)

// loopbackIP is an address of this process alone, so that processes on one machine do not take each other's ports. It is
// 127.0.0.1 where the operating system has no other loopback address.
var loopbackIP = sync.OnceValue(func() netip.Addr {
	const maxOctet = 254
	octet := func() byte { return byte(1 + rand.IntN(maxOctet)) }
	ip := netip.AddrFrom4([4]byte{127, octet(), octet(), octet()})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	_ = l.Close()
	return ip
})

var (
	freePortsMu sync.Mutex
	// freePorts are the ports that are not returned yet, in random order.
	freePorts = rand.Perm(lastFreePort - firstFreePort)
)

// FreeAddr returns a loopback address that this process has not used, for a host that is started later. It returns an
// error once all ports have been used.
//
// It does not listen there to see whether the port is free: a child process that starts at that moment would inherit
// the listener, and afterwards the port could be taken by anybody.
func FreeAddr() (netip.AddrPort, error) {
	freePortsMu.Lock()
	defer freePortsMu.Unlock()
	if len(freePorts) == 0 {
		return netip.AddrPort{}, errors.New("no unused loopback port is left")
	}
	port := uint16(firstFreePort + freePorts[0])
	freePorts = freePorts[1:]
	return netip.AddrPortFrom(loopbackIP(), port), nil
}
