// Package disk stores a replica's durable state in its data directory: append-only log segments with checksums, and
// snapshots.
package disk
