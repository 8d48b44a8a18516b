package harness

import (
	"fmt"
	"net/netip"
	"time"

	"oleanderlever/core"
)

// Spec describes a request as its caller and the upstreams see it.
type Spec struct {
	// PromptLength and OutputLength are the true lengths in tokens; the request has an estimate of the prompt
	// length.
	PromptLength core.Tokens
	OutputLength core.Tokens
	// SharedLength is the length of the prefix that the prompt shares with other prompts.
	SharedLength core.Tokens
	// Content is the body of a call to a plain service.
	Content string
}

// Exchange is one request and its response on the traffic side.
type Exchange struct {
	core.Request
	Spec
	Host      *Host
	Account   core.AccountID
	ArrivedAt time.Time
	// FirstTokenAt is when the caller received the first token, EndedAt when the response was complete.
	FirstTokenAt time.Time
	EndedAt      time.Time
	// RelayedTokens counts the tokens that the caller received, LateTokens those that came more than MaxTokenGap
	// after the previous token.
	RelayedTokens core.Tokens
	LateTokens    int
	// Responses counts the responses from the core; more than one is a violation.
	Responses      int
	Failure        *core.Failure
	StoredResponse *core.StoredResponse
	Disconnected   bool
	// AttemptsRun counts the attempts that reached an upstream.
	AttemptsRun    int
	lastTokenAt    time.Time
	hostGeneration int
	// version is the software version of the engine that sent the last token, if hasVersion is set.
	version    core.SoftwareVersion
	hasVersion bool
}

// MaxTokenGap is the target time between two tokens.
const MaxTokenGap = 43 * time.Millisecond

// FakeUpstreams implements the traffic side of the kernels with fake upstreams in virtual time.
type FakeUpstreams struct {
	// Exchanges has all requests by ID, Arrivals in the order of their arrival.
	Exchanges map[core.RequestID]*Exchange
	Arrivals  []*Exchange
	Engines   []*Engine
	Services  []*Service
	// NetworkDelay is the one-way delay between a host and an upstream.
	NetworkDelay time.Duration
	// AnnounceTo is the number of hosts, the first ones of the run, that upstreams announce themselves to; zero means all.
	AnnounceTo int
	// AssignTime is how long an engine takes to carry out an assign request.
	AssignTime time.Duration
	// DeadlyParts are the prompt parts that crash an engine when it begins a response, DeadlyContent the content hashes of the
	// requests that crash any upstream that begins to execute them; Crashes counts these crashes.
	DeadlyParts   map[uint64]bool
	DeadlyContent map[uint64]bool
	Crashes       int
	// CallCounts counts the calls that plain services ran, by content.
	CallCounts map[string]int
	// OnDecision, if set, is called for each logged decision.
	OnDecision func(h *Host, d core.Decision)
	// Violations lists the invariant violations that were seen.
	Violations []string

	run         *Run
	lastRequest int
}

// NewFakeUpstreams returns fake upstreams for a run and sets Run.OnAction to their Perform method.
func NewFakeUpstreams(r *Run) *FakeUpstreams {
	f := &FakeUpstreams{run: r, Exchanges: map[core.RequestID]*Exchange{}, CallCounts: map[string]int{}, NetworkDelay: time.Millisecond, AssignTime: 2 * time.Second}
	r.OnAction = f.Perform
	return f
}

func (f *FakeUpstreams) addViolation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Submit sends a request to a host as its caller would.
func (f *FakeUpstreams) Submit(h *Host, account core.AccountID, r core.Request, s Spec) *Exchange {
	f.lastRequest++
	r.ID = core.RequestID(fmt.Sprintf("%s-%d-%d", h.ID, h.boot, f.lastRequest))
	if r.Deadline.IsZero() {
		r.Deadline = h.localTime(f.run.Now).Add(time.Minute)
	}
	x := &Exchange{Request: r, Spec: s, Host: h, Account: account, ArrivedAt: f.run.Now, hostGeneration: h.generation}
	f.Exchanges[r.ID] = x
	f.Arrivals = append(f.Arrivals, x)
	f.run.Post(h, core.RequestArrived{Request: r})
	return x
}

// HostAlive reports whether the host that accepted the request has been up ever since.
func (f *FakeUpstreams) HostAlive(x *Exchange) bool {
	return x.Host.Up && x.Host.generation == x.hostGeneration
}

// Disconnect closes the caller's connection unless the request has a response.
func (f *FakeUpstreams) Disconnect(x *Exchange) {
	if x.Responses > 0 || x.Disconnected {
		return
	}
	x.Disconnected = true
	f.post(x, core.CallerDisconnected{Request: x.ID})
}

// post passes an event to the host that accepted the request, unless that host has stopped since.
func (f *FakeUpstreams) post(x *Exchange, ev core.Event) {
	if f.HostAlive(x) {
		f.run.Post(x.Host, ev)
	}
}

// after schedules a callback for the traffic side of a request; it is dropped if the host stops.
func (f *FakeUpstreams) after(x *Exchange, d time.Duration, callback func()) {
	f.run.After(d, func() {
		if f.HostAlive(x) {
			callback()
		}
	})
}

// Perform performs an action of a kernel.
func (f *FakeUpstreams) Perform(h *Host, a core.Action) {
	switch a := a.(type) {
	case core.RunPrefill:
		f.prefill(f.Exchanges[a.Attempt.Request], a)
	case core.RunDecode:
		f.decode(f.Exchanges[a.Attempt.Request], a)
	case core.RunCall:
		f.call(f.Exchanges[a.Attempt.Request], a)
	case core.CancelAttempt:
		f.cancel(h, a)
	case core.SendAssignRequest:
		f.assign(h, a)
	case core.FinishRequest:
		f.finish(f.Exchanges[a.Request])
	case core.SendStoredResponse:
		x := f.Exchanges[a.Request]
		x.StoredResponse = &a.Response
		f.recordResponse(x, nil)
	case core.RefuseRequest:
		f.recordResponse(f.Exchanges[a.Request], a.Failure)
	case core.LogDecision:
		if f.OnDecision != nil {
			f.OnDecision(h, a.Decision)
		}
	}
}

func (f *FakeUpstreams) recordResponse(x *Exchange, failure *core.Failure) {
	x.Responses++
	x.Failure = failure
	x.EndedAt = f.run.Now
	if x.Responses > 1 {
		f.addViolation("%s got %d responses", x.ID, x.Responses)
	}
	if failure != nil && failure.NotExecuted && x.AttemptsRun > 0 {
		f.addViolation("%s was refused as not executed, but %d attempts reached an upstream", x.ID, x.AttemptsRun)
	}
}

func (f *FakeUpstreams) finish(x *Exchange) {
	if x.Model != "" && x.RelayedTokens != x.OutputLength {
		f.addViolation("%s finished with %d of %d output tokens", x.ID, x.RelayedTokens, x.OutputLength)
	}
	f.recordResponse(x, nil)
}

func unreachable() *core.Failure {
	return &core.Failure{Kind: core.KindUpstreamFailed, Message: "the upstream is unreachable", NotExecuted: true}
}

func connectionBroken() *core.Failure {
	return core.Fail(core.KindUpstreamFailed, "the connection was lost")
}

// connectionEnded is the failure of an attempt whose upstream was up or not when its connection broke.
func connectionEnded(up bool) *core.Failure {
	f := connectionBroken()
	f.UpstreamEnded = !up
	return f
}

// heartbeatInterval is the time between two announcements of an upstream.
const heartbeatInterval = 500 * time.Millisecond

// sendToRandomHost posts an event from an upstream to a random one of the hosts that it announces itself to, if one is up.
func (f *FakeUpstreams) sendToRandomHost(ev core.Event) {
	hosts := f.run.Hosts
	if f.AnnounceTo > 0 {
		hosts = hosts[:f.AnnounceTo]
	}
	start := f.run.Rand.IntN(len(hosts))
	for i := range hosts {
		h := hosts[(start+i)%len(hosts)]
		if h.Up {
			f.run.Post(h, ev)
			return
		}
	}
}

func upstreamAddr(n int, net byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(n >> 8), byte(n)}), 9000)
}
