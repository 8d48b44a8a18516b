// Package replica is the plug-in that keeps the replicated log: elections, replication, snapshots and the keeper set.
package replica
