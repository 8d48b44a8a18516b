// Package dispatch is the plug-in that places attempts: one host per pool keeps the fair queue between client
// accounts, the reservations of engine memory and the choice of upstreams.
package dispatch
