// Package replay runs request traces through the core in virtual time, with fake upstreams, and compares the results
// with those of a naive baseline dispatcher.
package replay
