package tokenquota

import (
	"context"
	"time"
)

// Loan is an amount that another instance gave up.
type Loan struct {
	From   string
	Tokens float64
}

// BorrowResult is what holders gave up for one request.
type BorrowResult struct {
	Loans []Loan
	// Wait is when a holder expects to have what is missing; 0 is unknown.
	Wait time.Duration
	// HolderAnswered tells that a holder answered.
	HolderAnswered bool
}

// HolderClient reaches the holders of allowances.
type HolderClient interface {
	// Borrow asks holders for tokens of a team until there are enough.
	Borrow(ctx context.Context, team string, tokens float64, holders []string) BorrowResult
	// Return gives loans back that were not spent. What does not arrive counts as
	// spent for a window.
	Return(ctx context.Context, team string, loans []Loan) error
}
