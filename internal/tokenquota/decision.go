package tokenquota

import "time"

// Decision is the result of Take.
type Decision struct {
	Allowed bool
	// Wait is the estimated time until the tokens are available, if refused. Booked tells that a
	// holder keeps them for this request from then on.
	Wait   time.Duration
	Booked bool
	// Promised is what a holder remembers of an earlier refusal of the request.
	Promised Promised
	// Share is this instance's share of the allowance, and Free what was left
	// of it, borrowed tokens included.
	Share, Free float64
	// NoHolderAnswered means that this instance holds no share and no holder
	// answered, so it is unknown whether the allowance is used up.
	NoHolderAnswered bool
	// Unrecorded means that a part of the share is free, but lacks a record in the store or at the
	// witnesses.
	Unrecorded bool
	// record waits for that record.
	record recordWaiter
	// Loans are the tokens borrowed from other instances for this request.
	Loans []Loan
	// otherHolders are the other instances that hold a share.
	otherHolders []string
	// holderShare is the share of each holder.
	holderShare float64
	// homes are the holders that keep the booking of the request.
	homes []string
}
