package tokenquota

import "time"

// Promised is what a holder remembers of an earlier refusal of the same request.
type Promised struct {
	// Known tells that there was one.
	Known bool
	// Late is how long after the promised time the request came; below 0 it came early.
	Late time.Duration
	// Kept tells that tokens are booked for it.
	Kept bool
}
