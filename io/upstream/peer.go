package upstream

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/io/bearer"
	"oleanderlever/io/clock"
	"oleanderlever/io/control"
)

const (
	rank = 30
	// maxMessageBytes limits the size of an announcement or a report.
	maxMessageBytes    = 4 << 20
	messageReadTimeout = 5 * time.Second
	// maxConcurrentCancels limits the cancel requests that run at once; the core repeats cancels that were not
	// acknowledged.
	maxConcurrentCancels = 256
)

func init() { control.Register(control.Peer{Name: "upstream", Rank: rank, Open: open}) }

// server receives announcements and load reports.
type server struct {
	loop   *control.Loop
	secret string
}

func open(h *control.Host) (control.Instance, error) {
	if !h.Settings.Listen.Upstreams.IsValid() {
		return control.Instance{}, nil
	}
	l, err := net.Listen("tcp", h.Settings.Listen.Upstreams.String())
	if err != nil {
		return control.Instance{}, errors.Wrap(err, "listen.upstreams")
	}
	secret := h.Settings.Credentials.UpstreamSecret
	s := &server{loop: h.Loop, secret: secret}
	httpServer := &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: maxMessageBytes, ReadTimeout: messageReadTimeout, IdleTimeout: time.Minute,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	engines := &engineClient{client: NewClient(secret, h.Bodies), loop: h.Loop, cancelSlots: make(chan struct{}, maxConcurrentCancels)}
	return control.Instance{
		Start: func() { go func() { _ = httpServer.Serve(l) }() },
		Perform: func(a core.Action) {
			switch a := a.(type) {
			case core.CancelAttempt:
				engines.cancel(a)
			case core.SendAssignRequest:
				go engines.assign(a)
			}
		},
		Close: func() {
			_ = l.Close()
			_ = httpServer.Shutdown()
		},
	}, nil
}

// engineClient sends cancel and assign requests to engines.
type engineClient struct {
	client      *Client
	loop        *control.Loop
	cancelSlots chan struct{}
}

func (c *engineClient) cancel(a core.CancelAttempt) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.cancelSlots }()
		ok := c.client.Cancel(a.Addr, a.Attempt)
		c.loop.Post(core.CancelEnded{Attempt: a.Attempt, Addr: a.Addr, OK: ok})
	}()
}

// assign sends an assign request unless its SendBefore has passed while the goroutine waited to run: after that time,
// another host may be the leader.
func (c *engineClient) assign(a core.SendAssignRequest) {
	f := core.Fail(core.KindDeadlineExceeded, "the deadline for sending the assign request has passed")
	if clock.Now().Before(a.SendBefore) {
		f = c.client.Assign(a.Addr, a.Request, a.Timeout)
	}
	c.loop.Post(core.AssignRequestEnded{Upstream: a.Request.Assignment.Upstream, Epoch: a.Request.Epoch, Failure: f})
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if s.secret != "" && !bearer.Matches(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), s.secret) {
		ctx.Error("wrong or missing credentials", fasthttp.StatusUnauthorized)
		return
	}
	var ev core.Event
	var err error
	switch string(ctx.Path()) {
	case PathAnnounce:
		ev, err = parseAnnouncement(ctx.PostBody())
	case PathReport:
		ev, err = parseReport(ctx.PostBody())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !s.loop.TryPost(ev) {
		ctx.Error("the mailbox is full", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func parseAnnouncement(body []byte) (core.Event, error) {
	var a core.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, core.Fail(core.KindBadRequest, "announcement: %v", err)
	}
	return core.UpstreamAnnounced{Announcement: a}, a.Validate()
}

// ReportBody is the JSON form of a load report, in which attempt IDs are strings.
type ReportBody struct {
	core.LoadReport
	Attempts []string `json:"attempts"`
}

func parseReport(body []byte) (core.Event, error) {
	var b ReportBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, core.Fail(core.KindBadRequest, "report: %v", err)
	}
	r := b.LoadReport
	r.Attempts = nil
	for _, text := range b.Attempts {
		a, ok := ParseAttempt(text)
		if !ok {
			return nil, core.Fail(core.KindBadRequest, "report: invalid attempt ID %q", text)
		}
		r.Attempts = append(r.Attempts, a)
	}
	return core.UpstreamReported{Report: r}, r.Validate()
}
