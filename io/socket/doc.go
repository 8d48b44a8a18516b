// Package socket accepts and dials TCP connections, closes those whose remote end is unresponsive and detects when a
// caller disconnects.
package socket
