// Package registry tells every entry host which upstreams there are, where each entry host keeps its own ledger.
package registry
