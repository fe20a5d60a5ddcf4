package tokenquota

import (
	"context"
	"time"
)

// Loan is a number of tokens lent by another instance.
type Loan struct {
	From   string
	Tokens float64
}

// BorrowResult is the result of asking holders for the tokens of one request.
type BorrowResult struct {
	Loans []Loan
	// Wait is the estimated time until a holder has the missing tokens; 0 means
	// unknown.
	Wait time.Duration
	// Booked means that a holder keeps the tokens for the request, from Wait on.
	Booked bool
	Promised
	// HolderAnswered means that at least one holder answered.
	HolderAnswered bool
}

// Add adds the answer of a lender to the request r, which misses less then, and reports whether
// to ask a further one.
func (b *BorrowResult) Add(lender string, r *Request, answer LendResult) (more bool) {
	b.HolderAnswered = b.HolderAnswered || answer.Holder
	r.Counted = r.Counted || answer.Holder
	if answer.Tokens > 0 {
		b.Loans = append(b.Loans, Loan{From: lender, Tokens: answer.Tokens})
		r.Missing -= answer.Tokens
	}
	if answer.Known {
		b.Promised = answer.Promised
	}
	if answer.Booked {
		// The tokens of another holder would serve the request before its time.
		b.Booked, b.Wait = true, answer.Wait
		return false
	}
	if answer.Wait > 0 && (b.Wait == 0 || answer.Wait < b.Wait) {
		b.Wait = answer.Wait
	}
	return r.Missing > 0
}

// HolderClient calls the instances that hold shares of an allowance.
type HolderClient interface {
	// Borrow asks the holders for the tokens that a request misses, one after the
	// other, until there are enough.
	Borrow(ctx context.Context, team string, r Request, holders HolderList) BorrowResult
	// Book asks a holder to book tokens of a request that was refused.
	Book(ctx context.Context, team string, r BookRequest, holder string) (BookResult, error)
	// Return gives back loans that were not spent. Tokens that do not arrive
	// count as spent for a window.
	Return(ctx context.Context, team string, loans []Loan) error
}
