// Package replica implements the replicated log: leader election, replication, snapshots and changes of the replica
// set.
package replica
