// Package quota is the plug-in that enforces each client account's rate and burst across all hosts.
//
// The leader owns a token bucket for each account and grants tokens from it to hosts under leases. The sum of a
// bucket's level and the granted but unspent tokens never exceeds the burst and grows no faster than the rate, so the
// net charges in any window of length t are at most rate*t + burst, plus the allowances of core.QuotaPolicy. A
// request is charged the most that it may use; when it ends, the tokens that its response did not use are refunded.
package quota
