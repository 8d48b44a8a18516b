package upstream

import (
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/http1"
	"oleanderlever/io/links"
	"oleanderlever/io/socket"
)

// maxResponseBytes limits the body of a plain service's response.
const maxResponseBytes = 16 << 20

// Client sends requests to upstreams.
type Client struct {
	secret   string
	connPool *links.Pool
	bodies   *http1.MemoryBudget
	// attempt is the number of the attempt whose connection active holds; active is nil if attempts can't be aborted.
	attempt int
	active  *links.ActiveConn
}

// NewClient returns a client that authenticates its requests with the secret. Bodies count against the budget, which is
// nil for no limit.
func NewClient(secret string, bodies *http1.MemoryBudget) *Client {
	return &Client{secret: secret, connPool: links.New(), bodies: bodies}
}

// ForAttempt returns a client with the same connections for one attempt; aborting the attempt at active closes the connection
// that it uses.
func (c *Client) ForAttempt(attempt int, active *links.ActiveConn) *Client {
	bound := *c
	bound.attempt, bound.active = attempt, active
	return &bound
}

// reply is a response whose header has been read.
type reply struct {
	conn   *links.PooledConn
	key    links.Key
	header fasthttp.ResponseHeader
	// toHead is true for a response to a HEAD request.
	toHead bool
	// closeConn is true if the connection must not be used again.
	closeConn bool
}

// roundTrip sends a request once and reads the header of the response. The timeout limits all reads and writes of the
// connection until the caller sets another deadline. With newConnection, an idle connection is not used.
func (c *Client) roundTrip(
	addr netip.AddrPort, req *fasthttp.Request, timeout time.Duration, newConnection bool,
) (*reply, *core.Failure) {
	r := &reply{key: links.Key{Addr: addr}, closeConn: newConnection}
	connect := c.connPool.Get
	if newConnection {
		connect = links.Dial
		req.SetConnectionClose()
	}
	conn, err := connect(r.key)
	if err != nil {
		return nil, core.Fail(core.KindUnreachable, "%v", err)
	}
	if c.active != nil && !c.active.Set(c.attempt, conn) {
		_ = conn.Close()
		return nil, &core.Failure{Kind: core.KindUpstreamFailed, Message: "the attempt was aborted", NotExecuted: true}
	}
	r.conn = conn
	if err := conn.RoundTrip(req, &r.header, time.Now().Add(timeout)); err != nil {
		_ = conn.Close()
		return nil, transportFailure(addr, err)
	}
	return r, nil
}

// readBody reads a body of at most limit bytes, and returns the connection to the pool if the response is complete.
func (c *Client) readBody(r *reply, limit int, memory *http1.MemoryLease) ([]byte, *core.Failure) {
	body, err := http1.ReadBody(r.conn.Reader, http1.BodyLength(&r.header, r.toHead), limit, memory)
	if err != nil {
		_ = r.conn.Close()
		return nil, transportFailure(r.key.Addr, err)
	}
	c.release(r)
	return body, nil
}

// release returns the connection of a completely read response to the pool, or closes it.
func (c *Client) release(r *reply) {
	if c.active != nil {
		c.active.Clear()
	}
	if r.closeConn {
		_ = r.conn.Close()
		return
	}
	c.connPool.Put(r.key, r.conn, &r.header)
}

// transportFailure converts an error that occurred after the request may have been sent.
func transportFailure(addr netip.AddrPort, err error) *core.Failure {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout):
		return core.Fail(core.KindUpstreamFailed, "the upstream did not respond in time")
	case errors.IsAny(err, http1.ErrTooLong, http1.ErrNoMemory, http1.ErrMalformed):
		return core.Fail(core.KindUpstreamFailed, "the upstream's response was not read to its end: %v", err)
	}
	f := core.Fail(core.KindUpstreamFailed, "the connection to the upstream was lost: %v", err)
	f.UpstreamEnded = socket.ClosedByRemote(err) && links.RefusesConnections(addr)
	return f
}

// Call sends a request to a plain service and reads the complete response within the timeout; the body counts against
// memory. With newConnection it opens a connection for this request: the upstream may be closing an idle one, and it
// would be unknown whether a request that was sent on it was executed.
func (c *Client) Call(
	addr netip.AddrPort, a core.AttemptID, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration,
	newConnection bool, memory *http1.MemoryLease,
) *core.Failure {
	req.Header.Set(HeaderAttempt, a.String())
	if c.secret != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, bearer.Value(c.secret))
	}
	req.SetHost(addr.String())
	r, f := c.roundTrip(addr, req, timeout, newConnection)
	if f != nil {
		return f
	}
	r.toHead = req.Header.IsHead()
	body, f := c.readBody(r, maxResponseBytes, memory)
	if f != nil {
		return f
	}
	r.header.CopyTo(&resp.Header)
	resp.SetBodyRaw(body)
	if echo := string(resp.Header.Peek(HeaderAttempt)); echo != "" && echo != a.String() {
		return core.Fail(core.KindUpstreamFailed, "the response belongs to attempt %s", echo)
	}
	return nil
}

// NewLease returns a lease for the bodies of one request.
func (c *Client) NewLease() *http1.MemoryLease { return c.bodies.Lease() }
