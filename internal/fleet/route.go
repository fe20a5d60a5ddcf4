package fleet

import "time"

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets has one entry unless the operators split the traffic.
	Targets []Target
	Kind    RouteKind
	// Timeout is the longest that a request is kept waiting for its answer.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full credit.
	Objective time.Duration
	// MaxAttempts is the most upstreams that may run one request.
	MaxAttempts int
	// Priority is the rank of its requests; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Target is one service of a route with its share of the traffic.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
