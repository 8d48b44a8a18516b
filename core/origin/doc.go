// Package origin is the plug-in that remembers which software version began a stream, for callers that take it up again at
// another host.
package origin
