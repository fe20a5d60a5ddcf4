package upstream

import "time"

// Obstacle is why no upstream can take a request now: Unusable, VersionGone, AtLimit, LoadPending,
// Overloaded or Changed.
type Obstacle interface{ obstacle() }

type (
	// Unusable means that no upstream can take the request, and that it is not known when one can.
	Unusable struct{}
	// VersionGone means that no upstream with the required software version is listed.
	VersionGone struct{}
	// AtLimit means that all usable upstreams are at their rate limits or want a pause.
	AtLimit struct {
		// RetryAfter is the estimated time until one has room.
		RetryAfter time.Duration
		// Queue is an engine with the model whose rate limit has room after RetryAfter, or nil.
		// Its agent can give the request a place.
		Queue *Choice
	}
	// LoadPending means that the request waits for a model to be loaded.
	LoadPending struct {
		// RetryAfter is the estimated time until it is. Pick may be called again after PollAfter.
		RetryAfter, PollAfter time.Duration
	}
	// Overloaded means that the engines with the model cannot serve the request within its
	// objective for RetryAfter, so it should be refused rather than queued.
	Overloaded struct{ RetryAfter time.Duration }
	// Changed means that the chosen upstream can no longer take the request. The next Pick
	// chooses another one.
	Changed struct{}
)

func (Unusable) obstacle()    {}
func (VersionGone) obstacle() {}
func (AtLimit) obstacle()     {}
func (LoadPending) obstacle() {}
func (Overloaded) obstacle()  {}
func (Changed) obstacle()     {}

// Unavailable tells why no upstream can take a request now.
type Unavailable struct {
	// Reason is a short text for logs and the response.
	Reason   string
	Obstacle Obstacle
	// Replica is another engine on which to load the model in the background,
	// or nil.
	Replica *Choice
}

// RetryAfter is the estimated time until an upstream is available; 0 means unknown.
func (u Unavailable) RetryAfter() time.Duration {
	switch o := u.Obstacle.(type) {
	case AtLimit:
		return o.RetryAfter
	case LoadPending:
		return o.RetryAfter
	case Overloaded:
		return o.RetryAfter
	default:
		return 0
	}
}

func unusable(reason string) Unavailable { return Unavailable{Reason: reason, Obstacle: Unusable{}} }

func changed(reason string) Unavailable { return Unavailable{Reason: reason, Obstacle: Changed{}} }

// atLimit returns the obstacle of a chosen upstream that takes the request after wait; 0 means
// that it asks for a permit meanwhile, which the next Pick gets.
func atLimit(wait time.Duration) Unavailable {
	const reason = "the upstream is at its rate limit"
	if wait <= 0 {
		return changed(reason)
	}
	return Unavailable{Reason: reason, Obstacle: AtLimit{RetryAfter: wait}}
}
