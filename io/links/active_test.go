package links_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/links"
)

// An abort closes the connection of its attempt and keeps a late one from being used; the next attempt is not affected.
func TestAbortedAttemptGetsNoConnection(t *testing.T) {
	var a links.ActiveConn
	first, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	require.True(t, a.Set(1, first))
	a.Abort(1)
	_, err := first.Write([]byte("x"))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	second, remote2 := net.Pipe()
	defer func() { _ = remote2.Close() }()
	require.False(t, a.Set(1, second))
	require.True(t, a.Set(2, second))
	a.Clear()
	a.Abort(2)
	go func() { _, _ = remote2.Read(make([]byte, 1)) }()
	_, err = second.Write([]byte("x"))
	require.NoError(t, err, "the connection was released before the abort")
}
