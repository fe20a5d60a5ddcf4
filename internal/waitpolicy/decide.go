package waitpolicy

import "time"

// Obstacle is what a request waits for.
type Obstacle int

const (
	// Load is the load of a model or adapter. Nothing but the wait serves the request.
	Load Obstacle = iota
	// Rate is the rate limit of a cold upstream. A caller that comes back reaches
	// another instance, which may have a free place sooner.
	Rate
)

const (
	// maxRateWaitShare is the largest share of its remaining time that a request waits
	// for a rate limit.
	maxRateWaitShare = 0.4
	// minRetryAfter keeps a caller from coming back before anything can have changed.
	minRetryAfter = 100 * time.Millisecond
)

// Decision tells what becomes of a request that cannot be sent yet.
type Decision struct {
	// Wait is how long the request waits at most; 0 means that it is turned away.
	Wait time.Duration
	// RetryAfter is when a caller that is turned away should come back.
	RetryAfter time.Duration
}

// Decide returns whether a request waits for an obstacle that is expected to end after
// eta; 0 means that nothing is known. A request that would still wait when its caller
// leaves is turned away at once, so that the caller can come back when it can be served.
func Decide(now time.Time, r Request, o Obstacle, eta time.Duration) Decision {
	left := r.latestSend().Sub(now)
	if o == Rate {
		left = min(left, time.Duration(maxRateWaitShare*float64(r.Deadline.Sub(now))))
	}
	if eta <= 0 || eta > left {
		return Decision{RetryAfter: RetryAfter(r, eta)}
	}
	return Decision{Wait: left}
}

// spreadShare is the part of a Retry-After by which it is delayed at most.
const spreadShare = 0.25

// RetryAfter returns when a caller should come back for something that is expected to be
// ready after eta. Callers that are turned away together get different times, so that
// they do not come back together.
func RetryAfter(r Request, eta time.Duration) time.Duration {
	eta = max(eta, minRetryAfter)
	return eta + time.Duration(spreadShare*r.Point*float64(eta))
}
