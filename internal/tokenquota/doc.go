// Package tokenquota keeps teams within their rate and burst over all entry
// instances together, without an owner of the count (H7).
//
// A team may spend its rate times a window plus its burst in any window of that
// length. Each instance has an equal part of this allowance; what it spends is
// free again a window later. An instance that runs short asks others: a lender
// counts a loan as spent before it answers, and the borrower uses it within
// loanLife or not at all. So a lost answer wastes tokens for one window and
// never makes any, and an instance that is cut off goes on with its own part.
package tokenquota
