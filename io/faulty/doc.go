// Package faulty has responses of HTTP/1.1 servers that never end or are malformed, for tests of clients.
package faulty
