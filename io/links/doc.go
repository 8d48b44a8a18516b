// Package links keeps idle connections to upstreams, and uses none that may carry what belongs to no request.
package links
