// Package replay feeds recorded traces to the decision core in virtual time, with fake engines behind one pool, and
// measures what callers get beside a naive baseline.
package replay
