package budget

import "time"

// bucketParams determine the state of an owner's bucket.
type bucketParams struct {
	// since is when this instance applied the record that made it the owner.
	since time.Time
	// start is the end of the takeover wait.
	start time.Time
	// now is the time of the request, read before Owner.Grant checks anything.
	now time.Time
	// rate is the share's rate in tokens per second.
	rate float64
	// size is the capacity of the share's bucket in tokens.
	size float64
}
