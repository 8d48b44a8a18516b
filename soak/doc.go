// Package soak runs real host processes on loopback addresses while it injects a seeded series of faults from outside,
// and checks the system's guarantees by what callers, upstreams and operators observe.
package soak
