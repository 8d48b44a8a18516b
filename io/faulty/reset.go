package faulty

import (
	"net"
	"time"
)

// resetDelay is how long a connection stays open after a response that comes before the request has been read. The client's
// upload has filled the buffers by then.
const resetDelay = 100 * time.Millisecond

// ResetUpload sends a response, reads nothing more of the request and resets the connection. An upload that doesn't fit into the
// buffers of the connection is still being sent.
func ResetUpload(conn *net.TCPConn, response string) error {
	if _, err := conn.Write([]byte(response)); err != nil {
		return err
	}
	time.Sleep(resetDelay)
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}
