// Package harness runs several kernels over a list of messages in virtual time, with lost, late, repeated and
// reordered messages, crashes between write and sync, lost disks and cut links. It is a test kit for whoever embeds
// the core, and no simulator of a cluster: it has no model of machines, networks or load.
package harness
