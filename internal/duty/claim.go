package duty

import "time"

// Claim is the newest claim in the log.
type Claim struct {
	// Holder is the instance that made it, empty if there is none, and Start the random number of
	// its run.
	Holder string
	Start  uint64
	// Era is that of the claim. A claim of an earlier era than the log's gives nobody the duty.
	Era   int64
	Token int64
	// From is the first window that may be reported under the claim.
	From int64
	At   time.Time
}
