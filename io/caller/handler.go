package caller

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"oleanderlever/core"
	"oleanderlever/core/entry"
	"oleanderlever/io/clock"
	"oleanderlever/io/http1"
	"oleanderlever/io/socket"
	"oleanderlever/io/upstream"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathReady       = "/readyz"
	pathHealth      = "/healthz"
)

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathHealth:
		ctx.SetBodyString("ok\n")
	case pathReady:
		s.ready(ctx)
	case pathModels:
		s.models(ctx)
	case pathChat:
		s.modelRequest(ctx, true)
	case pathCompletions:
		s.modelRequest(ctx, false)
	default:
		s.serviceRequest(ctx)
	}
}

// handleError responds to a request that could not be read.
func (s *server) handleError(ctx *fasthttp.RequestCtx, err error) {
	f := core.Fail(core.KindBadRequest, "the request could not be read: %v", err)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		f = core.Fail(core.KindBadRequest, "reading the request timed out")
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		f = core.Fail(core.KindBodyTooLarge, "the header is too long")
	}
	writeError(ctx, s.newID(), f)
	ctx.SetConnectionClose()
}

// ready tells the load balancer whether this host accepts requests.
func (s *server) ready(ctx *fasthttp.RequestCtx) {
	st := s.state.Load()
	switch {
	case st.Draining:
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
	case !clock.Now().Before(st.LeaseExpires):
		ctx.Error("no valid configuration\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     core.PoolID `json:"id"`
	Object string      `json:"object"`
}

func (s *server) models(ctx *fasthttp.RequestCtx) {
	id := s.newID()
	st := s.state.Load()
	key, hasKey := bearerKey(&ctx.Request.Header)
	account, f := entry.Authenticate(st.Config, st.LeaseExpires, clock.Now(), hashKey(key), hasKey)
	if f != nil {
		writeError(ctx, id, f)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range st.Config.Models {
		if core.AllowsAccount(m.Accounts, account.ID) {
			list.Data = append(list.Data, modelItem{ID: m.ID, Object: "model"})
		}
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(marshal(list))
}

// newRequest reads the parts that all requests have. It returns the request, its body and the API key.
func (s *server) newRequest(ctx *fasthttp.RequestCtx, memory *http1.MemoryLease) (core.Request, []byte, string, *core.Failure) {
	key, hasKey := bearerKey(&ctx.Request.Header)
	r := core.Request{ID: s.newID(), HasKey: hasKey, Deadline: clock.Now().Add(s.settings.Requests.Timeout.Duration)}
	if hasKey {
		r.KeyHash = hashKey(key)
	}
	body, f := s.readBody(ctx, memory)
	r.ContentHash = http1.ContentHash(ctx.Method(), ctx.Request.RequestURI(), body)
	return r, body, key, f
}

// readBody reads the body up to the limit. fasthttp drains the rest, so that the next request on the connection is read
// from its start.
func (s *server) readBody(ctx *fasthttp.RequestCtx, memory *http1.MemoryLease) ([]byte, *core.Failure) {
	limit := s.settings.Requests.MaxBodyBytes
	if n := ctx.Request.Header.ContentLength(); n > limit {
		return nil, core.Fail(core.KindBodyTooLarge, "the body is %d bytes long; the limit is %d", n, limit)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	body, err := http1.ReadAll(stream, limit, memory)
	if err == nil {
		return body, nil
	}
	f := http1.BodyFailure(err, limit)
	if f.Kind == core.KindBadRequest {
		ctx.SetConnectionClose()
	}
	return nil, f
}

// refuse responds with a failure to a request that is not started, and releases its memory.
func refuse(ctx *fasthttp.RequestCtx, id core.RequestID, memory *http1.MemoryLease, f *core.Failure) {
	memory.Release()
	writeError(ctx, id, f)
}

func (s *server) modelRequest(ctx *fasthttp.RequestCtx, chat bool) {
	memory := s.client.NewLease()
	r, body, key, f := s.newRequest(ctx, memory)
	if f == nil && !ctx.IsPost() {
		f = core.Fail(core.KindBadRequest, "the method must be POST")
	}
	if f == nil && key != "" && bytes.Contains(body, []byte(key)) {
		f = keyOutsideHeader()
	}
	var m modelRequestBody
	if f == nil {
		m, f = parseModel(chat, body, &r)
	}
	if f != nil {
		refuse(ctx, r.ID, memory, f)
		return
	}
	x := newExchange(r.ID, s.loop, s.client, memory)
	x.model, x.body = &m, body
	x.encoder.model, x.encoder.chat = r.Model, chat
	s.respond(ctx, x, r)
}

func (s *server) serviceRequest(ctx *fasthttp.RequestCtx) {
	memory := s.client.NewLease()
	r, body, key, f := s.newRequest(ctx, memory)
	x := newExchange(r.ID, s.loop, s.client, memory)
	x.serviceRequest = fasthttp.AcquireRequest()
	if f == nil {
		f = buildServiceRequest(&ctx.Request, key, body, x.serviceRequest)
	}
	if f != nil {
		refuse(ctx, r.ID, memory, f)
		return
	}
	x.serviceRequest.Header.Set(upstream.HeaderRequestID, string(r.ID))
	r.Path = string(ctx.Path())
	r.IdempotencyKey = string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if f := validateIdempotencyKey(r.IdempotencyKey); f != nil {
		refuse(ctx, r.ID, memory, f)
		return
	}
	s.respond(ctx, x, r)
}

func validateIdempotencyKey(key string) *core.Failure {
	if key == "" {
		return nil
	}
	if err := core.ValidateName(headerIdempotencyKey, key); err != nil {
		return core.FailureOf(err)
	}
	return nil
}

// respond starts the exchange and sends its response to the caller.
func (s *server) respond(ctx *fasthttp.RequestCtx, x *exchange, r core.Request) {
	var disconnected <-chan struct{}
	if c, ok := ctx.Conn().(*socket.WatchedConn); ok {
		disconnected = c.Disconnected
	}
	if !s.start(x, r, disconnected) {
		refuse(ctx, x.id, x.memory, core.Fail(core.KindOverloaded, "the host is overloaded"))
		return
	}
	resp := <-x.response
	ctx.Response.Header.Set(upstream.HeaderRequestID, string(x.id))
	switch {
	case resp.failure != nil:
		writeError(ctx, x.id, resp.failure)
	case resp.stream != nil:
		ctx.SetContentType(contentStream)
		ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
		ctx.SetBodyStream(resp.stream, -1)
	case resp.serviceResponse != nil:
		writeServiceResponse(ctx, resp.serviceResponse)
		fasthttp.ReleaseResponse(resp.serviceResponse)
	case resp.stored != nil:
		ctx.Response.Header.Set("X-Stored-Answer", "true")
		ctx.SetStatusCode(resp.stored.Status)
		ctx.SetContentType(resp.stored.ContentType)
		ctx.SetBody(resp.stored.Body)
	default:
		s.writeModelResponse(ctx, x, resp.body)
	}
}

func (s *server) writeModelResponse(ctx *fasthttp.RequestCtx, x *exchange, body []byte) {
	ctx.SetContentType(contentJSON)
	if x.model.Stream {
		ctx.SetContentType(contentStream)
	}
	ctx.SetBody(body)
}

// forwardedResponseHeaders are the response headers of a plain service that are forwarded to the caller.
var forwardedResponseHeaders = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderCacheControl, fasthttp.HeaderETag, fasthttp.HeaderLastModified,
	fasthttp.HeaderLocation, fasthttp.HeaderRetryAfter, fasthttp.HeaderContentLanguage, fasthttp.HeaderSetCookie,
}

func writeServiceResponse(ctx *fasthttp.RequestCtx, from *fasthttp.Response) {
	ctx.SetStatusCode(from.StatusCode())
	for _, name := range forwardedResponseHeaders {
		for _, v := range from.Header.PeekAll(name) {
			ctx.Response.Header.AddBytesV(name, v)
		}
	}
	ctx.SetBody(from.Body())
}
