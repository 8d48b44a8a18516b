// Package http1 contains the parts of HTTP/1.1 that need strict parsing: headers, whose framing must be unambiguous,
// bodies, whose early end must be detected, and streams of server-sent events.
package http1
