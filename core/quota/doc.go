// Package quota is the plug-in that keeps each client account within its rate and burst over all hosts together.
//
// The leader owns a token bucket for each account and lends amounts out of it under leases. For the bucket's level
// and the amounts lent but not yet spent, the sum never exceeds the burst and grows by no more than the rate, so the
// net charges of any window of length t are at most rate*t + burst. A charge is what a request may use at most; what
// its answer did not use is credited when it ends.
package quota
