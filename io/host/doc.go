// Package host speaks to the system's other hosts: batches of the core's messages over twirp.
package host
