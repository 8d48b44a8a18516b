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
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(failed, err)
}

// Listen opens a listener whose connections end when their other end has been silent for a few seconds.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return c.Listen(context.Background(), "tcp", addr.String())
}

// Dialer returns a dialer of connections that end when their other end has been silent for a few seconds.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}
