// Package tokenquota keeps teams within their rate and burst over all entry
// instances together, without an owner of the count (H7).
//
// Each instance has an equal part of a team's rate and burst. An instance that
// runs short asks others for tokens; a lender takes them off its own balance
// before it answers, so a lost answer loses tokens and never makes any. An
// instance that is cut off goes on with its own part.
package tokenquota
