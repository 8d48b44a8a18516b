// Package operator speaks to operators: the remote procedure calls of operator.proto over twirp, on both sides.
package operator
