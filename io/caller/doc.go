// Package caller speaks to callers: an HTTP interface for models and for routed plain services, and readiness for the
// balancer. It translates; what happens to a request is the core's decision.
package caller
