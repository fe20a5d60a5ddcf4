package admission

import "time"

// Caller is what a caller that has no tokens yet expects.
type Caller struct {
	Start, Deadline time.Time
	// Objective is the time within which an answer is worth all; 0 is unknown, and the request
	// never waits.
	Objective time.Duration
}

const (
	// waitShare is the part of the objective within which tokens must be there for a request that
	// waits here. The rest is for the upstream, which must begin its answer within the objective.
	waitShare = 0.5
	// bookShare is the part of the objective within which tokens that are kept for a caller serve it in
	// time. Later ones are kept only beside what other callers of its team ask for whom they would serve in
	// time (Demand.FreshRate).
	bookShare = 0.8
	// returnShare is the largest part of its remaining time after which a refused caller comes
	// back.
	returnShare = 1.0 / 3
)

// MayWait reports whether a request waits here for tokens that are promised after eta.
func (c Caller) MayWait(now time.Time, eta time.Duration) bool {
	return c.Objective > 0 && !now.Add(eta).After(c.within(waitShare))
}

// Longest returns after which time tokens do not serve the caller within its objective any more, whether
// it waits here or comes back.
func (c Caller) Longest(now time.Time) time.Duration {
	if c.Objective <= 0 {
		return 0
	}
	return max(0, min(c.within(bookShare).Sub(now), c.Returns(now)), c.within(waitShare).Sub(now))
}

// Returns returns the longest time after which the caller comes back if it is refused.
func (c Caller) Returns(now time.Time) time.Duration {
	if c.Objective <= 0 {
		return 0
	}
	return max(0, time.Duration(returnShare*float64(c.Deadline.Sub(now))))
}

// within returns when a part of the objective is over.
func (c Caller) within(share float64) time.Time {
	return c.Start.Add(time.Duration(share * float64(c.Objective)))
}
