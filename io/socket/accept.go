package socket

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// acceptRetryDelay avoids a busy loop while accept fails, for instance for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Accept passes each new connection to handle, which must not block, until the listener is closed.
func Accept(l net.Listener, log zerolog.Logger, handle func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			log.Error().Err(err).Stringer("addr", l.Addr()).Msg("failed to accept a connection; retrying")
			time.Sleep(acceptRetryDelay)
		default:
			handle(conn)
		}
	}
}
