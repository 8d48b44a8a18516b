// Package daemon puts a host together: it registers every plug-in, opens the peers and runs the kernel.
package daemon
