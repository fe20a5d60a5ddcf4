package upstream

import (
	"math"
	"time"
)

// Outcome is how an attempt ended at an upstream.
type Outcome int

// Outcomes of attempts.
const (
	// Served is an answer of any status that the upstream gave.
	Served Outcome = iota
	// Errored is an answer that says that the upstream failed.
	Errored
	// Refused is an upstream's statement that it did not run the request.
	Refused
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Broken is a connection that ended, or bytes that are no answer.
	Broken
	// Stalled is an attempt that was given up because nothing came.
	Stalled
	// Replaced is another start of an upstream at the address.
	Replaced
	// Abandoned is an attempt that the caller or a bound ended.
	Abandoned
)

// Figures of failure detection.
const (
	// failureWeight is the weight of the newest attempt in the failure share;
	// about the last ten attempts count.
	failureWeight = 0.15
	// firstEjection is how long an unreachable upstream gets nothing; each
	// further failure doubles it up to maxEjection, the time of a short restart.
	// failingHalfLife is how fast failures are forgotten, so that an upstream which
	// has recovered is tried again: 3 s of failingMS are 50 ms after six half-lives.
	failingHalfLife = 2 * time.Second
	firstEjection   = 400 * time.Millisecond
	maxEjection     = 3 * time.Second
	// coldAfterReturn is how long an upstream counts as cold after it was
	// unreachable: it may have restarted, and its heartbeat lags.
	coldAfterReturn = 4 * time.Second
)

// health is the evidence of this instance's own attempts at one upstream.
type health struct {
	// failing is the decayed share of failed attempts, 0 to 1, at failingAt.
	failing   float64
	failingAt time.Time
	// lost counts connection failures in a row.
	lost         int
	ejectedUntil time.Time
	// suspectUntil makes the upstream count as cold.
	suspectUntil time.Time
}

// failingNow is the decayed share of failed attempts, 0 to 1.
func (h *health) failingNow(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	return h.failing * math.Exp2(-now.Sub(h.failingAt).Seconds()/failingHalfLife.Seconds())
}

func (h *health) record(o Outcome, now time.Time) {
	h.failing, h.failingAt = h.failingNow(now), now
	switch o {
	case Served, Refused:
		h.failing *= 1 - failureWeight
		h.lost = 0
	case Errored:
		h.failing += failureWeight * (1 - h.failing)
		h.lost = 0
	case Broken, Stalled:
		h.failing += failureWeight * (1 - h.failing)
	case Unreachable:
		h.failing += failureWeight * (1 - h.failing)
		pause := min(maxEjection, firstEjection<<min(h.lost, 4))
		h.lost++
		h.ejectedUntil = now.Add(pause)
		h.suspectUntil = now.Add(pause + coldAfterReturn)
	case Replaced:
		h.ejectedUntil = now.Add(maxEjection)
	case Abandoned:
	}
}
