// Package links pools idle connections to upstreams. It does not reuse a connection that may hold bytes which belong
// to no request.
package links
