package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Choice is the upstream of an attempt.
type Choice struct {
	Upstream *fleet.Upstream
	// AgentAddr is the agent beside it, or empty.
	AgentAddr string
	// NeedsLoad tells that the model or adapter has to be loaded first.
	NeedsLoad bool
	// LoadTime is the estimate for that.
	LoadTime time.Duration
	// FromStore tells that the load would take the weights from the weight store.
	FromStore bool
	// Delay is the estimated time to the first token once it is loaded.
	Delay time.Duration
	// UncachedTokens is how many tokens of the prompt the upstream must read.
	UncachedTokens int
	// Replica is another upstream worth loading the model at, or nil, and Worth
	// the demand that the copy would carry.
	Replica *Choice
	Demand  float64
}

// Unavailable tells why no upstream can be chosen.
type Unavailable struct {
	// Reason is a short text for logs and the answer.
	Reason string
	// RetryAfter is when one may be available; 0 is unknown.
	RetryAfter time.Duration
	// PollAfter is when to look again, if before After; 0 is not before.
	PollAfter time.Duration
	// LoadPending tells that the wait is for a load.
	LoadPending bool
	// Overloaded tells that engines have more work than they can do in time, so
	// waiting here would only make the queue longer.
	Overloaded bool
	// Replica is another engine worth loading the model at, or nil.
	Replica *Choice
}
