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

// Keep-alive probes detect a dead idle connection after keepAliveIdle + keepAliveCount * keepAliveInterval.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout is how long sent bytes may stay unacknowledged; it is about the time to detect a dead idle
	// connection.
	unackedTimeout = 4 * time.Second
	// hostUnackedTimeout is the same limit between hosts, which lose messages until a dead connection is detected. It
	// allows for two retransmissions on an otherwise reliable network and is shorter than the time after which a leader
	// counts as failed.
	hostUnackedTimeout = 700 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// tcpUserTimeout returns a control function that limits how long sent bytes may stay unacknowledged.
func tcpUserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.CombineErrors(sockErr, err)
	}
}

// Listen returns a TCP listener whose connections fail if the remote end is unresponsive for a few seconds.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: tcpUserTimeout(unackedTimeout)}
	return c.Listen(context.Background(), "tcp", addr.String())
}

// Dialer returns a dialer whose connections fail if the remote end is unresponsive for a few seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: tcpUserTimeout(unackedTimeout)}
}

// HostDialer returns a dialer for connections between hosts. They carry messages all the time and fail sooner than
// those of Dialer, after hostUnackedTimeout.
func HostDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: tcpUserTimeout(hostUnackedTimeout)}
}
