// Package admission decides who gets a team's tokens when there are too few: who is
// admitted, who waits, and when a caller that is refused should come back. It handles a team
// that sends several times its rate for some seconds, with requests whose sizes differ by a
// factor of fifty.
//
// The decisions are functions of a snapshot and a time; the package does no input or output.
// Package tokenquota keeps the snapshot at the instances that hold a share of a team's quota,
// and gives out no token that its window does not allow, whatever is decided here.
package admission
