package tokenquota

import "time"

// BookResult is a holder's answer to a request that it could not give tokens.
type BookResult struct {
	// Holder is false if this instance holds no share of the allowance, or does not know yet that
	// it does.
	Holder bool
	// Booked tells that the tokens are booked. Wait is when they are, or would be.
	Booked bool
	Wait   time.Duration
	Promised
}
