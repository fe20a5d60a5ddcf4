package fairqueue

import "time"

// Request describes a request to the queue.
type Request struct {
	Team string
	// Weight is the weight of the team in fair queueing; 0 counts as 1. It is
	// ignored while other requests of the team wait.
	Weight float64
	Class  Class
	// Tokens is the estimated cost of the request.
	Tokens float64
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// ExpectedDuration is the expected time from dispatch to the complete answer.
	ExpectedDuration time.Duration
}

// latestStart returns the latest dispatch time at which the request can still
// meet its deadline.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.ExpectedDuration) }
