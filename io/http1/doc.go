// Package http1 reads what of HTTP/1.1 must be read strictly: headers whose framing leaves no doubt, bodies whose early end
// shows, and streams of events.
package http1
