package socket

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ClosedByRemote reports whether an error of a read means that the remote end closed or reset the connection, and not that a
// timeout passed or that this end closed it.
func ClosedByRemote(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
