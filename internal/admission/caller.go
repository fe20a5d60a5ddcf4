package admission

import "time"

// Caller is what a caller that has no tokens yet expects.
type Caller struct {
	Start, Deadline time.Time
	// Objective is the time within which an answer is worth all; 0 is unknown, and the request
	// never waits.
	Objective time.Duration
	// Patience is how long after Start the caller leaves unless its response has begun; 0 means
	// that it stays until the deadline.
	Patience time.Duration
}

const (
	// objectiveShare is the part of the objective within which tokens must be there. The rest is
	// for the upstream, which must begin its answer within the objective.
	objectiveShare = 0.5
	// returnShare is the largest part of its remaining time after which a refused caller comes
	// back.
	returnShare = 1.0 / 3
	// lateShare is the part of its time for which a request waits that could not come back. The
	// rest is for the upstream: tokens that are spent on an answer after the deadline serve
	// nobody.
	lateShare = 0.6
)

// MayWait reports whether a request waits here for tokens that are promised after eta.
func (c Caller) MayWait(now time.Time, eta time.Duration) bool {
	if c.Objective <= 0 {
		return false
	}
	at := now.Add(eta)
	if !at.After(c.Start.Add(time.Duration(objectiveShare * float64(c.Objective)))) {
		return true
	}
	return eta > c.longestReturn(now) && !at.After(c.latest())
}

// Longest returns after which time tokens are of no use to the caller, whether it waits here or
// comes back.
func (c Caller) Longest(now time.Time) time.Duration {
	longest := c.longestReturn(now)
	if c.Objective > 0 {
		longest = max(longest, c.latest().Sub(now))
	}
	return max(0, longest)
}

func (c Caller) longestReturn(now time.Time) time.Duration {
	return time.Duration(returnShare * float64(c.Deadline.Sub(now)))
}

// latest returns until when a request that could not come back waits.
func (c Caller) latest() time.Time {
	patience := c.Deadline.Sub(c.Start)
	if c.Patience > 0 {
		patience = min(patience, c.Patience)
	}
	return c.Start.Add(time.Duration(lateShare * float64(patience)))
}
