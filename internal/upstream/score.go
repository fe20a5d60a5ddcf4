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
	// failurePenaltyMS is added for an upstream that fails all its requests.
	failurePenaltyMS = 3000.0
	// adapterLoadTime is the time to order and load a small adapter.
	adapterLoadTime = 15 * time.Millisecond
)

// load is the load of an upstream from which its delay is estimated.
type load struct {
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
// In a burst, every entry instance sees the same short queue in the reports. So
// an instance's own requests count at once, and those of all callers when a
// report arrives.
func engineDelay(l load, uncached int) time.Duration {
	ms := float64(l.pendingTokens+uncached)/prefillTokensPerMS + float64(l.queued)*queuedRequestMS +
		float64(max(l.running, l.inFlight))*(runningRequestMS+prefillInterference*float64(uncached)/prefillTokensPerMS) + l.failureRate*failurePenaltyMS
	if l.remote {
		ms += crossDataCentreMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// plainDelay ranks an upstream without models by its load relative to its
// capacity.
func plainDelay(l load, capacity int) time.Duration {
	const fullLoadMS = 50.0
	utilization := float64(max(l.running, l.inFlight)+l.queued) / float64(max(1, capacity))
	ms := utilization*fullLoadMS + l.failureRate*failurePenaltyMS
	if l.remote {
		ms += crossDataCentreMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}
