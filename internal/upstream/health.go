package upstream

import (
	"math"
	"time"
)

// Outcome is how an attempt ended at an upstream.
type Outcome int

// Outcomes of attempts.
const (
	// Served is a response with any status from the upstream itself.
	Served Outcome = iota
	// Errored is a response that reports a failure of the upstream.
	Errored
	// Refused is a response that states that the upstream did not run the
	// request.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken is a connection that closed early, or a malformed response.
	Broken
	// Stalled is an attempt that timed out without progress.
	Stalled
	// Replaced means that another start of the upstream answered at its
	// address.
	Replaced
	// Abandoned is an attempt that the client or a limit of this instance
	// ended.
	Abandoned
)

// Parameters of failure detection.
const (
	// failureWeight is the weight of the newest attempt in the failure rate,
	// which thus covers about the last ten attempts.
	failureWeight = 0.15
	// failureHalfLife is how fast the failure rate decays without new attempts,
	// so that a recovered upstream is tried again: the full penalty of 3 s,
	// failurePenaltyMS, is down to 50 ms after six half-lives. firstEjection is
	// how long an unreachable upstream gets no requests. Each further failure
	// doubles it, up to maxEjection, the time of a short restart.
	failureHalfLife = 2 * time.Second
	firstEjection   = 400 * time.Millisecond
	maxEjection     = 3 * time.Second
	// assumedColdTime is how long an upstream counts as cold after it was
	// unreachable: it may have restarted, and its heartbeat lags.
	assumedColdTime = 4 * time.Second
)

// health is an upstream's state derived from this instance's own attempts.
type health struct {
	// failureRate is the decayed fraction of failed attempts, 0 to 1, as of
	// failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// connectFailures counts consecutive connection failures.
	connectFailures int
	ejectedUntil    time.Time
	// assumedColdUntil is until when the upstream counts as cold because it may
	// have restarted.
	assumedColdUntil time.Time
}

// currentFailureRate returns the failure rate decayed to now.
func (h *health) currentFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

func (h *health) record(o Outcome, now time.Time) {
	h.failureRate, h.failureRateAt = h.currentFailureRate(now), now
	switch o {
	case Served, Refused:
		h.failureRate *= 1 - failureWeight
		h.connectFailures = 0
	case Errored:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.connectFailures = 0
	case Broken, Stalled:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Unreachable:
		h.failureRate += failureWeight * (1 - h.failureRate)
		pause := min(maxEjection, firstEjection<<min(h.connectFailures, 4))
		h.connectFailures++
		h.ejectedUntil = now.Add(pause)
		h.assumedColdUntil = now.Add(pause + assumedColdTime)
	case Replaced:
		h.ejectedUntil = now.Add(maxEjection)
	case Abandoned:
	}
}
