// Package caller is the HTTP front end for callers: model requests, routed plain services, and readiness for the load
// balancer. It converts between HTTP and the types of package core, which decides what happens to a request.
package caller
