package loadqueue

import "time"

// Candidate holds the properties of a waiting load that determine its order.
type Candidate struct {
	// Preload marks a load that no request waits for.
	Preload bool
	// Deadline is that of the first of the waiting requests.
	Deadline time.Time
	// Value is the checkpoint's configured value.
	Value int
	// TeamUsage is the memory recently loaded for the team, in MiB, divided by the
	// team's weight.
	TeamUsage float64
	// Arrival is the sequence number of the load's request.
	Arrival uint64
}

// Before reports whether x gets a slot before y. It compares, in this order:
// loads that a request waits for before preloads, then earlier deadlines, higher
// values, teams with less usage, and earlier arrivals.
//
// Loads of further replicas of a checkpoint do not wait behind first replicas:
// in docs/measurements/coldstart.md that rule made more requests miss their
// deadline than first come, first served did.
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
