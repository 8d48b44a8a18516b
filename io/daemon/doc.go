// Package daemon assembles a host: it imports all plug-ins, opens the peers and runs the kernel.
package daemon
