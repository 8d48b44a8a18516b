// Package control runs a kernel: one goroutine owns all control state, and traffic goroutines post events to it.
package control
