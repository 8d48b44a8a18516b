// Package faulty has responses of HTTP/1.1 servers that never end, are malformed or end in a reset, for tests of clients.
package faulty
