// Package once is the plug-in that lets a call with an idempotency key be executed at most once across all hosts.
package once
