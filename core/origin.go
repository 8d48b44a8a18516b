package core

import "time"

// StreamBegan is the event that an upstream has sent an event of a stream that its caller may take up again.
type StreamBegan struct {
	// Stream is the ID of the request that brought the first event.
	Stream  RequestID
	Version SoftwareVersion
	// TTL is how long the caller may take the stream up.
	TTL time.Duration
}

// FindOrigin is the event that a request continues a stream, and that the version which began it must be found.
type FindOrigin struct{ Request, Stream RequestID }

// OriginFound is the event that the search for the version that began a stream has ended.
type OriginFound struct {
	Request RequestID
	// Version is the version if Known is true.
	Version SoftwareVersion
	Known   bool
}

// FindSoleVersion is the event that a request continues a stream of unknown origin.
type FindSoleVersion struct {
	Request RequestID
	Pool    PoolID
	// Lifetime is how long ago the stream may have begun.
	Lifetime time.Duration
}

// SoleVersion is the event that tells whether a pool has had upstreams of one software version only.
type SoleVersion struct {
	Request RequestID
	// Version is that of all upstreams that this host knows, if IsSole is true.
	Version SoftwareVersion
	IsSole  bool
	// HasUpstreams is true if this host knows an upstream of the pool.
	HasUpstreams bool
	// IsCertain is true if this host has known all upstreams throughout the lifetime.
	IsCertain bool
}

// StreamOrigin tells a replica which software version began a stream, for the time that remains.
type StreamOrigin struct {
	Stream    RequestID       `cbor:"stream"`
	Version   SoftwareVersion `cbor:"software"`
	Remaining time.Duration   `cbor:"remaining"`
}

// OriginQuery asks which software version began a stream.
type OriginQuery struct {
	Request RequestID `cbor:"request"`
	Stream  RequestID `cbor:"stream"`
}

// OriginReply answers an OriginQuery.
type OriginReply struct {
	Request RequestID       `cbor:"request"`
	Stream  RequestID       `cbor:"stream"`
	Version SoftwareVersion `cbor:"software,omitempty"`
	Known   bool            `cbor:"known,omitempty"`
}

func (m *StreamOrigin) validate() error {
	if m.Remaining <= 0 || m.Remaining > maxDuration {
		return Fail(KindBadRequest, "origin: the remaining time is out of range")
	}
	return m.Version.validate()
}

func (v SoftwareVersion) validate() error {
	if len(v) > maxVersionBytes {
		return Fail(KindBadRequest, "the software version is longer than %d bytes", maxVersionBytes)
	}
	return nil
}
