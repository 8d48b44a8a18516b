// Package control runs a kernel. One goroutine owns all control state; the goroutines for traffic post events to it.
package control
