package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keep-alive probes find a dead idle connection after keepIdle plus keepCount times keepInterval.
const (
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged: about the time to a dead idle connection.
	unackedTimeout = 4 * time.Second
	// hostUnacked is the same between hosts, whose messages are lost while a connection is dead without a sign: two
	// retransmissions on a network without losses, and less than the time after which a leader is given up.
	hostUnacked = 700 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// userTimeout bounds how long sent bytes may stay unacknowledged.
func userTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.CombineErrors(failed, err)
	}
}

// Listen opens a listener whose connections end when their other end has been silent for a few seconds.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: userTimeout(unackedTimeout)}
	return c.Listen(context.Background(), "tcp", addr.String())
}

// Dialer returns a dialer of connections that end when their other end has been silent for a few seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: userTimeout(unackedTimeout)}
}

// HostDialer returns a dialer of connections between hosts, which carry something all the time and end sooner.
func HostDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: userTimeout(hostUnacked)}
}
