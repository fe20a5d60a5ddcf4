package tokenquota

import "time"

// Decision is the answer to a request for tokens, with what decided it.
type Decision struct {
	Allowed bool
	// Wait is when the tokens may be there.
	Wait time.Duration
	// Share is this instance's part of the allowance and Free what was left of it
	// with loans.
	Share, Free float64
	// NoHolderAnswered tells that the tokens are held elsewhere and nobody answered, so
	// that it is not known whether the rate is used up.
	NoHolderAnswered bool
	// Loans came from other instances for this request.
	Loans []Loan
	// others are the other holders of the allowance.
	others []string
}
