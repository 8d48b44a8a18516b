package core

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is the part of a caller's request that the core needs; the body stays with the traffic goroutines.
type Request struct {
	ID RequestID
	// KeyHash is the hash of the API key; HasKey is false if the request has no key.
	KeyHash KeyHash
	HasKey  bool
	// Host and Path select a route; both are empty if the caller names a model instead.
	Host string
	Path string
	// Model is the model that the caller named, or empty if a route selects the pool.
	Model PoolID
	// PromptTokens is the estimated length of the prompt.
	PromptTokens Tokens
	// MaxOutput is the caller's limit for the output tokens, or zero.
	MaxOutput Tokens
	// ExpectedTokens is the caller's estimate of the output tokens, or zero.
	ExpectedTokens Tokens
	// PrefixHashes are the chained hashes of the prompt's leading blocks of PrefixBlockTokens each.
	PrefixHashes []uint64
	// PromptParts identify the parts of the prompt that other requests may have too, at most MaxPromptParts.
	PromptParts []uint64
	// Continues is true if the caller has received events of an earlier attempt and asks for the ones that follow. Origin is the ID
	// of the attempt that brought the first event, or empty if the caller does not name it.
	Continues bool
	Origin    RequestID
	// IdempotencyKey is the value of the Idempotency-Key header, or empty.
	IdempotencyKey string
	// ContentHash is a hash of method, path, query and body, and the same each time that a caller sends a request again. It also
	// distinguishes a resent request from another one with the same idempotency key. Zero means that it is not known.
	ContentHash uint64
	// Deadline is when the request is refused if it still waits for tokens or for its placement. On a route with
	// EndToEndTimeout, a running attempt is aborted then.
	Deadline time.Time
}

// Fingerprint identifies a request each time that its caller sends it, whatever its ID: by the caller's key, the host and the
// content. It is zero if the content is not known.
func (r *Request) Fingerprint() uint64 {
	if r.ContentHash == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.KeyHash[:])
	_, _ = d.WriteString(r.Host)
	return d.Sum64() ^ r.ContentHash
}

const (
	// PageTokens is the unit of engine memory in announcements, and the allocation unit if the configuration names
	// no other.
	PageTokens Tokens = 4096
	// PrefixBlockTokens is the block size of prefix-cache hints.
	PrefixBlockTokens Tokens = 256
	// MaxPromptParts limits the parts of a prompt that are tracked.
	MaxPromptParts = 32
)

// Pages returns the number of memory pages that n tokens take.
func Pages(n Tokens) int { return int((n + PageTokens - 1) / PageTokens) }

// RequestArrived is the event that a complete request was received.
type RequestArrived struct{ Request Request }

// CallerDisconnected is the event that a caller closed the connection of its request.
type CallerDisconnected struct{ Request RequestID }

// KVRef locates the KV cache that a prefill produced.
type KVRef struct {
	Addr   netip.AddrPort `cbor:"from"   json:"from"`
	Handle string         `cbor:"handle" json:"handle"`
}

// PrefillEnded is the event that a RunPrefill ended.
type PrefillEnded struct {
	Attempt      AttemptID
	KV           KVRef
	PromptTokens Tokens
	Failure      *Failure
	// Statement is what the upstream said of itself, or nil if it did not respond.
	Statement *UpstreamStatement
}

// FirstToken is the event that an attempt produced the first token of the response.
type FirstToken struct{ Attempt AttemptID }

// StreamStarted is the event that the header of a stream arrived in an attempt; it may be dropped.
type StreamStarted struct {
	Attempt   AttemptID
	Statement *UpstreamStatement
}

// DecodeEnded is the event that a RunDecode ended; RelayedTokens counts the tokens relayed by all attempts of the
// request.
type DecodeEnded struct {
	Attempt       AttemptID
	RelayedTokens Tokens
	Failure       *Failure
	// ConnectionLost is true if the connection was lost and the engine may still hold the stream.
	ConnectionLost bool
	// RemoteClosed is true if the connection was lost because the engine closed or reset it.
	RemoteClosed bool
	// Statement is what the upstream said of itself, or nil if it did not respond.
	Statement *UpstreamStatement
}

// CallEnded is the event that a RunCall ended.
type CallEnded struct {
	Attempt  AttemptID
	Response StoredResponse
	Failure  *Failure
	// Statement is what the upstream said of itself, or nil if it did not respond.
	Statement *UpstreamStatement
}

// RunPrefill sends the request's prompt and the tokens relayed so far to a prefill engine.
type RunPrefill struct {
	Attempt AttemptID
	Addr    netip.AddrPort
	// UpstreamID identifies the intended upstream, because addresses are reused.
	UpstreamID UpstreamID
	// Account is the account of the request; it is empty on a public route.
	Account      AccountID
	Epoch        Epoch
	PrefixHashes []uint64
	Timeout      time.Duration
	// Priority ranks the request at the upstream; it is unset if all requests of the pool have the same.
	Priority Priority
}

// RunDecode relays a stream from the token offset that the caller has reached.
type RunDecode struct {
	Attempt AttemptID
	Addr    netip.AddrPort
	// UpstreamID identifies the intended upstream, because addresses are reused.
	UpstreamID UpstreamID
	// Account is the account of the request; it is empty on a public route.
	Account AccountID
	// Deadline is when the whole response must be complete, or zero.
	Deadline  time.Time
	Epoch     Epoch
	KV        KVRef
	MaxTokens Tokens
	// Resume is true if the engine still holds the stream of the attempt.
	Resume bool
	// TokenTimeout limits the wait for the next token.
	TokenTimeout time.Duration
	// Priority ranks the request at the upstream; it is unset if all requests of the pool have the same.
	Priority Priority
}

// RunCall forwards the request to a plain service.
type RunCall struct {
	Attempt AttemptID
	Addr    netip.AddrPort
	// UpstreamID identifies the intended upstream, because addresses are reused.
	UpstreamID UpstreamID
	// Account is the account of the request; it is empty on a public route.
	Account AccountID
	Timeout time.Duration
	// NewConnection forbids reusing a connection unless it is certain that the upstream is not closing it: a failure
	// on a closing connection would leave open whether the call ran.
	NewConnection bool
	// Priority ranks the request at the upstream; it is unset if all requests of the pool have the same.
	Priority Priority
}

// FinishRequest completes the response to the caller and ends the request.
type FinishRequest struct{ Request RequestID }

// SendStoredResponse sends a stored response to the caller.
type SendStoredResponse struct {
	Request  RequestID
	Response StoredResponse
}

// RefuseRequest sends an error to the caller.
type RefuseRequest struct {
	Request RequestID
	Failure *Failure
}

// AbortAttempt aborts a running attempt; its result is ignored.
type AbortAttempt struct{ Attempt AttemptID }

// CancelAttempt asks an engine to free all resources of an attempt; CancelEnded follows unless the request is dropped
// because too many cancel requests are in progress.
type CancelAttempt struct {
	Attempt AttemptID
	Addr    netip.AddrPort
}

// CancelEnded is the event that a CancelAttempt ended; OK is true if the engine acknowledged it.
type CancelEnded struct {
	Attempt AttemptID
	Addr    netip.AddrPort
	OK      bool
}

// LameDuck is the event that the host will shut down soon: it reports that it is not ready but still accepts requests
// from callers that have not noticed. EndsAt is when the host ends at the latest; zero means no limit. Requests whose
// response may come after EndsAt are refused from LongUntil on.
type LameDuck struct{ LongUntil, EndsAt time.Time }

// Draining is the event that the host begins a graceful shutdown and refuses new requests. EndsAt is when the host ends
// at the latest; zero means no limit.
type Draining struct{ EndsAt time.Time }

// Drained is both an event and an action: a host that is shutting down has no requests left.
type Drained struct{}

// Decision is the log record of a routing or placement decision.
type Decision struct {
	Component string    `json:"part"`
	Choice    string    `json:"choice"`
	Reason    string    `json:"reason"`
	Request   RequestID `json:"request,omitempty"`
	Attempt   int       `json:"attempt,omitempty"`
	Account   AccountID `json:"account,omitempty"`
	Pool      PoolID    `json:"pool,omitempty"`
	Target    string    `json:"target,omitempty"`
	Score     float64   `json:"score,omitempty"`
	// PromptTokens and MaxTokens are set when a model request is admitted, OutputTokens when it is finished.
	PromptTokens Tokens `json:"prompt,omitempty"`
	MaxTokens    Tokens `json:"max,omitempty"`
	OutputTokens Tokens `json:"output,omitempty"`
	// Version is the configuration version in use, Age the time since the last contact with Target, Status the status of
	// the upstream's response.
	Version ConfigVersion `json:"version,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
	Status  int           `json:"status,omitempty"`
	// Forecast is when a queued attempt was expected to start, RetryAfter when the caller of a refused one should come back.
	Forecast   time.Duration `json:"forecast,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Software is the software version of Target.
	Software SoftwareVersion `json:"software,omitempty"`
	// Fingerprint is that of the request in hexadecimal.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Alternatives are some of the candidates that were not chosen.
	Alternatives []Candidate `json:"others,omitempty"`
}

// Candidate is a candidate that was not chosen, with its score; lower is better.
type Candidate struct {
	Target string  `json:"target"`
	Score  float64 `json:"score"`
}

// LogDecision logs a decision.
type LogDecision struct{ Decision Decision }

// OperatorCommandRequest is the event that an operator sent a command.
type OperatorCommandRequest struct {
	CorrelationID uint64
	Command       Command
}

// OperatorCommandResponse responds to an OperatorCommandRequest.
type OperatorCommandResponse struct {
	CorrelationID uint64
	Result        CommandResult
}

// OperatorStatusRequest is the event that an operator asked for the system's status as the leader sees it.
type OperatorStatusRequest struct{ CorrelationID uint64 }

// OperatorStatusResponse responds to an OperatorStatusRequest.
type OperatorStatusResponse struct {
	CorrelationID uint64
	Status        Status
	Failure       *Failure
}

// Status is the status of the whole system. ActiveVersion is the configuration version that all hosts with a valid
// lease have reached, or zero if a new leader cannot tell yet.
type Status struct {
	Leader        HostID          `cbor:"leader"`
	Epoch         Epoch           `cbor:"epoch"`
	Version       ConfigVersion   `cbor:"version"`
	ActiveVersion ConfigVersion   `cbor:"inForce"`
	Leases        []LeaseStatus   `cbor:"holders"`
	Replicas      []Replica       `cbor:"keepers"`
	History       []CommandResult `cbor:"history"`
	Config        Config          `cbor:"tables"`
}

// LeaseStatus is a host's configuration lease as the leader sees it.
type LeaseStatus struct {
	Host      HostID        `cbor:"host"`
	Version   ConfigVersion `cbor:"version"`
	Remaining time.Duration `cbor:"left"`
}
