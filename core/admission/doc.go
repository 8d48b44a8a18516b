// Package admission decides which of a pool's queued attempts starts next, and which are refused because they can't start in
// time to be of use to their callers. It has no clock, and is used by the dispatcher of the pool.
package admission
