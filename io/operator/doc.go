// Package operator implements the operator API: server and client of the service in operator.proto, over Twirp.
package operator
