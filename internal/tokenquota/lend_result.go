package tokenquota

import "time"

// LendResult is a lender's answer.
type LendResult struct {
	// Holder is false if this instance holds no share of the allowance, or does not know yet that
	// it does.
	Holder bool
	// Tokens are lent.
	Tokens float64
	// Wait is the estimated time until the lender has the rest. If Booked is set, the request came
	// before the time for which its tokens are booked, and Wait is the rest of that time.
	Wait   time.Duration
	Booked bool
	Promised
}
