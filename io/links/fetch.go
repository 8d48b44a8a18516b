package links

import (
	"bufio"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"oleanderlever/io/http1"
)

const writeBufferBytes = 4096

// RoundTrip sends a request and reads the header of the response until the deadline, which stays that of the connection; zero means
// none. After an error the connection must be closed: the response, or the rest of the request, may still be on its way.
func (c *PooledConn) RoundTrip(req *fasthttp.Request, h *fasthttp.ResponseHeader, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	w := bufio.NewWriterSize(c, writeBufferBytes)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return http1.ReadResponseHeader(c.Reader, h)
}

// Exchange sends a request and reads the complete response until the deadline, with a body of at most limit bytes.
func (c *PooledConn) Exchange(req *fasthttp.Request, limit int, deadline time.Time) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	if err := c.RoundTrip(req, &resp.Header, deadline); err != nil {
		return nil, err
	}
	body, err := http1.ReadBody(c.Reader, http1.BodyLength(&resp.Header, req.Header.IsHead()), limit, &http1.MemoryLease{})
	if err != nil {
		return nil, err
	}
	resp.SetBodyRaw(body)
	return resp, nil
}

// Fetch sends a request once on a new connection and reads the complete response within the timeout, with a body of at most
// limit bytes.
func Fetch(addr netip.AddrPort, req *fasthttp.Request, limit int, timeout time.Duration) (*fasthttp.Response, error) {
	deadline := time.Now().Add(timeout)
	conn, err := Open(addr, timeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	req.SetConnectionClose()
	return conn.Exchange(req, limit, deadline)
}
