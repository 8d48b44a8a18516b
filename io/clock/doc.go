// Package clock tells the time that leases count on.
package clock
