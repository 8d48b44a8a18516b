package socket

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// acceptPause keeps a lack of descriptors from becoming a busy loop.
const acceptPause = 50 * time.Millisecond

// Accept gives each new connection to take, which must not block, until the listener is closed.
func Accept(l net.Listener, log zerolog.Logger, take func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			log.Error().Err(err).Stringer("addr", l.Addr()).Msg("accept")
			time.Sleep(acceptPause)
		default:
			take(conn)
		}
	}
}
