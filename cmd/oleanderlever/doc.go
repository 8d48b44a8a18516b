// Command oleanderlever runs hosts of the router, the operator commands, and stand-in upstreams.
package main
