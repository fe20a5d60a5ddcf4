// Package tokenquota keeps teams within their rate and burst over all entry
// instances together, without a central counter (H7).
//
// In any time window, a team may spend its allowance: its rate times the length
// of the window, plus its burst. Some of the instances, the holders, have equal
// shares of the allowance. Instances that know the same members compute the same
// holders. Spent tokens become free again one window later. All other instances,
// and a holder whose share is used up, borrow from the holders.
//
// A lender counts a loan as spent before it answers, and the borrower may spend
// it only within loanTTL. So a lost answer wastes tokens for one window but never
// creates any, and an instance cut off from the others continues with its own
// share.
//
// When there are too few tokens, each holder decides with package admission who gets those of its
// share, and books tokens for requests that it refuses. Bookings only withhold tokens; they never
// raise what is given out (docs/design/admission.md).
package tokenquota
