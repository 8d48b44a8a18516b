// Package registry sends the list of upstreams to every entry host, in placement modes with local placement.
package registry
