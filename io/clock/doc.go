// Package clock provides the clock that leases are measured with.
package clock
