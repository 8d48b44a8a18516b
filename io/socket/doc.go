// Package socket accepts TCP connections, bounds how long one may be silent and notices when its other end goes.
package socket
