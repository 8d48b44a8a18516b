// Package disk keeps a keeper's durable state in its data folder: appended segments with checksums, and snapshots.
package disk
