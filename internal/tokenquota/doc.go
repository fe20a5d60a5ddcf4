// Package tokenquota keeps teams within their rate and burst over all entry
// instances together, without a central counter (H7).
//
// A team may spend its rate times a window plus its burst, its allowance, in
// any window of that length. Some instances, the holders, have equal shares of
// the allowance; instances that know the same members determine the same
// holders. Spent tokens are free again one window later. All other instances,
// and a holder that runs short, borrow from the holders. A lender counts a loan
// as spent before it answers, and the borrower spends it within loanTTL or not
// at all. So a lost answer wastes tokens for one window but never creates any,
// and an instance cut off from the others continues with its own share.
package tokenquota
