package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/speed"
)

// Parts of the estimated delay that do not depend on the speed of an upstream.
const (
	// crossDataCentreMS is added for an upstream in another data centre, unless
	// Bounds.SpillWeight is set; it includes the cost of the traffic.
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
	// remote tells that crossDataCentreMS is added.
	remote bool
}

// runningNow returns how many requests run at the upstream.
//
// The requests that this instance sent count at once, those of other instances
// only with the next report. Otherwise, in a burst, all requests would go to the
// upstream whose last report has the shortest queue.
func (l loadSnapshot) runningNow() int { return max(l.running, l.inFlight) }

// work describes a prompt with the given number of uncached tokens to an engine's speed.
func (l loadSnapshot) work(uncached int, model float64) speed.Work {
	return speed.Work{Tokens: uncached, PendingTokens: l.pendingTokens, Running: l.runningNow(), Queued: l.queued, Model: model}
}

// extraDelay is what is added to the time of the work itself.
func (l loadSnapshot) extraDelay() time.Duration {
	ms := l.failureRate * failurePenaltyMS
	if l.remote {
		ms += crossDataCentreMS
	}
	return speed.Milliseconds(ms)
}

// plainDelay ranks an upstream without models by its load relative to its
// capacity and by pace, how long its work takes relative to others. With a pace of 1 it
// depends on the load only.
func plainDelay(l loadSnapshot, capacity int, pace float64) time.Duration {
	const (
		fullLoadMS = 50.0
		// ownLoadMS lets the faster one of two idle upstreams come first. It is the load of
		// one request at an upstream with 16 slots.
		ownLoadMS = fullLoadMS / 16
	)
	utilization := float64(l.runningNow()+l.queued) / float64(max(1, capacity))
	return speed.Milliseconds(utilization*fullLoadMS*pace+ownLoadMS*(pace-1)) + l.extraDelay()
}
