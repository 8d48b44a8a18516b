package core

import "time"

// QuotaWanted asks for the tokens that a request may use at most.
type QuotaWanted struct {
	Request RequestID
	Account AccountID
	Cost    Tokens
	// Patience is how long the request may wait, or zero for the default.
	Patience time.Duration
}

// QuotaTaken tells that a request may go on.
type QuotaTaken struct{ Request RequestID }

// QuotaDenied tells that a request gets no tokens.
type QuotaDenied struct {
	Request RequestID
	Failure *Failure
}

// QuotaForget takes back a QuotaWanted that was not answered yet.
type QuotaForget struct {
	Request RequestID
	Account AccountID
}

// QuotaBack credits the part of a charge that was not used.
type QuotaBack struct {
	Account AccountID
	Amount  Tokens
}

// OnceWanted asks for the right to run a call that may not be repeated.
type OnceWanted struct {
	Request RequestID
	Attempt AttemptID
	Key     OnceKey
	Body    uint64
}

// OnceGranted tells that the intent is durable on a majority and that the attempt owns it.
type OnceGranted struct{ Request RequestID }

// OnceRefused tells that another attempt ran, is running or may have run the call.
type OnceRefused struct {
	Request RequestID
	// Stored is set where the first answer is known.
	Stored  *StoredAnswer
	Failure *Failure
}

// OnceOutcome gives the outcome of a call; OnceKept follows once it is durable or is given up waiting for.
type OnceOutcome struct {
	Request RequestID
	Key     OnceKey
	Body    uint64
	Attempt AttemptID
	State   OnceState
	Answer  StoredAnswer
}

// OnceKept tells that the wait for a durable outcome is over.
type OnceKept struct{ Request RequestID }
