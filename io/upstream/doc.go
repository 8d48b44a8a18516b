// Package upstream implements the protocol with model engines and plain services: it receives announcements and load
// reports, sends prefill, decode, cancel and assign requests to engines, and forwards calls to plain services.
// docs/PROTOCOL.md describes both directions.
package upstream
