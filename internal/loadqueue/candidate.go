package loadqueue

import "time"

// Candidate is what the order of waiting loads depends on.
type Candidate struct {
	// Preload marks a load that no request waits for.
	Preload bool
	// Deadline is that of the first waiting request.
	Deadline time.Time
	// Value is the checkpoint's configured value.
	Value int
	// TeamUsage is what the team was given so far relative to its weight, in MiB.
	TeamUsage float64
	// Arrival is the order of arrival.
	Arrival uint64
}

// Before reports whether x gets a slot before y: loads that a request waits
// for, earlier deadlines, higher values, teams that had less, earlier arrivals.
//
// Loads of further replicas of a checkpoint do not wait behind first replicas:
// in docs/measurements/coldstart.md that rule made more requests miss their
// deadline than first come first served did.
func (x Candidate) Before(y Candidate) bool {
	if x.Preload != y.Preload {
		return y.Preload
	}
	dx, dy := x.Deadline.UnixNano()/int64(deadlineStep), y.Deadline.UnixNano()/int64(deadlineStep)
	switch {
	case dx != dy:
		return dx < dy
	case x.Value != y.Value:
		return x.Value > y.Value
	case x.TeamUsage != y.TeamUsage:
		return x.TeamUsage < y.TeamUsage
	default:
		return x.Arrival < y.Arrival
	}
}
