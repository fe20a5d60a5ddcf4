package fleet

import "time"

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Targets has more than one entry only if operators split the traffic.
	Targets []Target
	Kind    RouteKind
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the latency objective: only a response within this time counts
	// in full.
	Objective time.Duration
	// EventInterval is the longest interval between events of a stream that counts as
	// on time; 0 is unknown.
	EventInterval time.Duration
	// MaxAttempts is how many upstreams may run one request, including the first.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Public tells that callers need no key.
	Public bool
	// Resumable tells that a broken stream may be resumed at another upstream.
	Resumable bool
}

// Target is a service that a route sends traffic to, with its weight.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}
