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
	// Replaced means that another upstream instance answered at the address, for
	// example after a restart.
	Replaced
	// Abandoned is an attempt that the caller or a limit of this instance
	// ended.
	Abandoned
)

// Parameters of failure detection.
const (
	// failureWeight is the weight of the newest attempt in the failure rate, a
	// moving average over about the last ten attempts.
	failureWeight = 0.15
	// failureHalfLife is the half-life of the failure rate while there are no new
	// attempts. The decay lets a recovered upstream be tried again: after six
	// half-lives, the full penalty of 3 s, failurePenaltyMS, has dropped to 50 ms.
	failureHalfLife = 2 * time.Second
	// baseEjectionTime is how long an upstream gets no requests after a connection
	// failure. Each further failure in a row doubles the time, up to
	// maxEjectionTime, the duration of a short restart.
	baseEjectionTime = 400 * time.Millisecond
	maxEjectionTime  = 3 * time.Second
	// assumedColdTime is how long an upstream counts as cold after it was
	// unreachable. It may have restarted, which its heartbeat reports only later.
	assumedColdTime = 4 * time.Second
	// suspectFailures is the number of failures in a row from which an upstream is suspected,
	// for suspectTime after the last one. The failure rate has decayed by then, so requests
	// that may be repeated have tested it before.
	suspectFailures = 3
	suspectTime     = 30 * time.Second
	// suspectPenalty ranks a suspected upstream behind all others for a request that may run
	// only once.
	suspectPenalty = time.Minute
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
	// failures counts the failed attempts since the last that was served, the last of them
	// at failedAt.
	failures int
	failedAt time.Time
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

// suspected reports whether the upstream has only failed lately, whatever it reports of its
// health.
func (h *health) suspected(now time.Time) bool {
	return h.failures >= suspectFailures && now.Sub(h.failedAt) < suspectTime
}

func (h *health) record(o Outcome, now time.Time) {
	h.failureRate, h.failureRateAt = h.currentFailureRate(now), now
	switch o {
	case Served:
		h.failures = 0
	case Errored, Broken, Stalled, Unreachable:
		h.failures, h.failedAt = h.failures+1, now
	}
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
		ejection := min(maxEjectionTime, baseEjectionTime<<min(h.connectFailures, 4))
		h.connectFailures++
		h.ejectedUntil = now.Add(ejection)
		h.assumedColdUntil = now.Add(ejection + assumedColdTime)
	case Replaced:
		h.ejectedUntil = now.Add(maxEjectionTime)
	case Abandoned:
	}
}
