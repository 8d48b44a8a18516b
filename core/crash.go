package core

import "time"

// RequestCompleted is the event that an upstream has executed the request with this fingerprint to the end of its response.
type RequestCompleted struct{ Fingerprint uint64 }

// RequestCrashed is the event that an upstream ended while it began to execute a request.
type RequestCrashed struct {
	Fingerprint uint64
	Upstream    UpstreamID
	// Incarnation is that of the upstream, or zero if it is not known.
	Incarnation uint64
}

// RequestQuarantineChanged is the event that other requests than before are in quarantine: those with these fingerprints are not
// sent to upstreams.
type RequestQuarantineChanged struct{ Fingerprints []uint64 }

// RequestCrash is the end of an upstream while it began to execute the request with this fingerprint.
type RequestCrash struct {
	Fingerprint uint64     `cbor:"request"`
	Upstream    UpstreamID `cbor:"upstream"`
	Incarnation uint64     `cbor:"incarnation"`
	// Age is the time since the crash, at the sender.
	Age time.Duration `cbor:"age,omitempty"`
}

// RequestSound is a request that an upstream has executed to its end, and that crashes had made suspect.
type RequestSound struct {
	Fingerprint uint64 `cbor:"request"`
}

// RequestQuarantine keeps the request with this fingerprint away from upstreams for the time that remains.
type RequestQuarantine struct {
	Fingerprint uint64        `cbor:"request"`
	Remaining   time.Duration `cbor:"remaining"`
}

// PromptCrash is the crash of an engine at the start of a response to a prompt with these parts.
type PromptCrash struct {
	Upstream UpstreamID `cbor:"upstream"`
	Parts    []uint64   `cbor:"parts"`
	// Fingerprint is that of the request, or zero if it is not known.
	Fingerprint uint64 `cbor:"request,omitempty"`
}

// PromptSound is a prompt part that was in a complete response and that crashes had made suspect.
type PromptSound struct {
	Part uint64 `cbor:"part"`
}

// PromptQuarantine keeps requests away whose prompt has all of these parts, for the time that remains.
type PromptQuarantine struct {
	Parts     []uint64      `cbor:"parts"`
	Remaining time.Duration `cbor:"remaining"`
}

// QuarantineList tells another host which quarantines are in force, and which crashes may lead to others.
type QuarantineList struct {
	Quarantines []PromptQuarantine  `cbor:"quarantines"`
	Requests    []RequestQuarantine `cbor:"requests,omitempty"`
	Crashes     []RequestCrash      `cbor:"crashes,omitempty"`
}

// SoundParts is the response to a QuarantineList: what in it has been in complete responses.
type SoundParts struct {
	Parts    []uint64 `cbor:"parts"`
	Requests []uint64 `cbor:"requests,omitempty"`
}

func (c *RequestCrash) validate() error {
	if c.Age < 0 || c.Age > maxDuration {
		return Fail(KindBadRequest, "crash: the age is out of range")
	}
	return ValidateName("crash.upstream", string(c.Upstream))
}

func (q *RequestQuarantine) validate() error {
	if q.Remaining <= 0 || q.Remaining > maxDuration {
		return Fail(KindBadRequest, "quarantine: the remaining time is out of range")
	}
	return nil
}
