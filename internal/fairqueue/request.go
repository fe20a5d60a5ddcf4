package fairqueue

import "time"

// Request is what the queue needs to know of a request.
type Request struct {
	Team string
	// Weight is the team's part in fair sharing; 0 counts as 1.
	Weight float64
	Class  Class
	// Tokens is the estimated cost.
	Tokens float64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// ExpectedDuration is the expected time from dispatch to the complete answer.
	ExpectedDuration time.Duration
}

// latestStart is the last moment at which dispatching the request makes sense.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.ExpectedDuration) }
