// Package harness is a test kit for users of package core. It runs several kernels in virtual time, delivers their
// messages with loss, delay, duplication and reordering, and injects network partitions, disk loss and crashes
// between a write and its sync. Fake upstreams take the place of engines and plain services. The kit does not simulate
// a cluster: it has no model of the capacity of hosts or of the network between them.
package harness
