// Package socket bounds how long a TCP connection may be silent and notices when its other end goes.
package socket
