package fleet

import "time"

// ResponseAttributes are the values that the system reads from the header of an
// upstream's response.
type ResponseAttributes struct {
	// RequestID is the id of the request that the response answers.
	RequestID string
	// Stamped tells that the response carries the stamp header, which the upstream
	// itself sets.
	Stamped bool
	// NotExecuted tells that the upstream states that it did not run the request.
	NotExecuted bool
	// Encoded tells that the response has a content encoding, which no upstream
	// applies.
	Encoded bool
	// Instance is the upstream's own instance id, or empty.
	Instance string
	// WeightsVersion is the version of the model that the upstream runs, or empty.
	WeightsVersion string
	// HasLoad tells whether the header stated the upstream's load.
	HasLoad bool
	ServerLoad
	// InvalidLoad is the start of a stated load that could not be decoded, or empty.
	InvalidLoad string
	// RateLimit is how many requests a second the upstream takes from all instances
	// together, at least MinRateLimit; 0 means that it names no limit.
	RateLimit float64
	// Leaving tells that the upstream is about to end.
	Leaving bool
	// RetryAfter is how long the upstream wants nothing from this instance, if the status is
	// 503; 0 means that it does not say.
	RetryAfter time.Duration
	// KeepAlive is the idle timeout of the upstream's connections; 0 is unknown.
	KeepAlive time.Duration
}

// MaxRetryAfter is the longest ResponseAttributes.RetryAfter: a value that is wrong must not
// take an upstream out of use for good.
const MaxRetryAfter = 10 * time.Minute

// ForwardAttributes are the values that the system adds to the header of a request
// that it forwards.
type ForwardAttributes struct {
	// Timeout is how long the upstream may work on the request.
	Timeout time.Duration
	// Instance is the id of the only upstream instance that may run the request.
	Instance string
	// Team is the team whose key the caller sent, or empty.
	Team string
	// Urgency is from 0, the most urgent, to 9. It is set only for engines.
	Urgency    int
	HasUrgency bool
	// ResumeAfter and WeightsVersion are set when a stream is resumed at another
	// upstream: the id of the last event that the caller has, and the version of the
	// model that produced it.
	ResumeAfter, WeightsVersion string
}
