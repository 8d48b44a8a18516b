// Package dispatch is the plug-in that places attempts on upstreams. The dispatcher of a pool queues attempts fairly
// between client accounts, reserves engine memory and selects upstreams.
package dispatch
