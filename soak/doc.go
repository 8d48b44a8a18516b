// Package soak runs the real host processes on loopback under a seeded series of faults that are injected from outside, and
// checks the promises of the system from what callers, upstreams and operators see.
package soak
