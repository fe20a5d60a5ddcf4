package upstream

import "time"

// Parameters of the estimated time to first token. Only their ratios matter for
// the choice.
const (
	// prefillTokensPerMS is the speed at which an engine reads a prompt.
	// Engines in use read 38 to 44 tokens per ms.
	prefillTokensPerMS = 40.0
	// queuedRequestMS is added for each request in the engine's queue. The
	// longest class of prompts takes 240 ms if nothing is cached.
	queuedRequestMS = 120.0
	// runningRequestMS is the time that each running request adds to a step of
	// the engine.
	runningRequestMS = 1.5
	// prefillInterference is the fraction of the time to read a prompt that is
	// added for each running request, since reading it delays that request's
	// tokens.
	prefillInterference = 0.05
	// crossDataCentreMS is added for an upstream in another data centre; it
	// includes the cost of the traffic.
	crossDataCentreMS = 4.0
	// failurePenaltyMS is added for an upstream that fails all its requests, and in
	// proportion for one that fails some.
	failurePenaltyMS = 3000.0
	// adapterLoadTime is the time to order and load a small adapter.
	adapterLoadTime = 15 * time.Millisecond
)

// loadSnapshot is the request load of an upstream, from which its delay is
// estimated.
type loadSnapshot struct {
	// pendingTokens are the prompt tokens sent by this instance for which no
	// response headers have arrived.
	pendingTokens int
	// inFlight counts the requests of this instance; running and queued count
	// those of all callers.
	inFlight, running, queued int
	failureRate               float64
	remote                    bool
}

// engineDelay estimates the time to first token of a prompt with the given
// number of uncached tokens.
//
// The requests that this instance sent count at once, those of other instances
// only with the next report. Otherwise, in a burst, all requests would go to the
// upstream whose last report has the shortest queue.
func engineDelay(l loadSnapshot, uncached int) time.Duration {
	ms := float64(l.pendingTokens+uncached)/prefillTokensPerMS + float64(l.queued)*queuedRequestMS +
		float64(max(l.running, l.inFlight))*(runningRequestMS+prefillInterference*float64(uncached)/prefillTokensPerMS) + l.failureRate*failurePenaltyMS
	if l.remote {
		ms += crossDataCentreMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// plainDelay ranks an upstream without models by its load relative to its
// capacity.
func plainDelay(l loadSnapshot, capacity int) time.Duration {
	const fullLoadMS = 50.0
	utilization := float64(max(l.running, l.inFlight)+l.queued) / float64(max(1, capacity))
	ms := utilization*fullLoadMS + l.failureRate*failurePenaltyMS
	if l.remote {
		ms += crossDataCentreMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}
