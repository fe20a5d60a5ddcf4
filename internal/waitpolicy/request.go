package waitpolicy

import "time"

// Request is what the decisions depend on of a request.
type Request struct {
	Start, Deadline time.Time
	// Patience is how long after Start the caller leaves unless its response has begun;
	// 0 means that it stays until the deadline.
	Patience time.Duration
	// Point is a number from 0 to 1, evenly spread over all requests.
	Point float64
}

// serviceShare is the share of a caller's patience that remains for the upstream after
// the wait: a request that reaches it later is not answered before the caller leaves.
const serviceShare = 0.1

// latestSend returns until when a request may wait.
func (r Request) latestSend() time.Time {
	patience := r.Deadline.Sub(r.Start)
	if r.Patience > 0 {
		patience = min(patience, r.Patience)
	}
	return r.Start.Add(patience - time.Duration(serviceShare*float64(patience)))
}
