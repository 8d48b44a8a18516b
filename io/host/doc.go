// Package host exchanges core messages with the other hosts of the system, in batches over TCP or TLS.
package host
