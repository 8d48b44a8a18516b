// Package bearer implements bearer authentication with shared secrets for HTTP clients and servers.
package bearer
