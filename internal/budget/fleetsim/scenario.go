package fleetsim

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Scenario describes one run.
type Scenario struct {
	Seed  uint64
	Nodes int
	DCs   int
	Teams map[string]config.Team
	// Load is each team's offered load relative to its rate.
	Load float64
	// MeanTokens is the mean size of a request as a part of the team's burst.
	MeanTokens float64
	// Bursts, if positive, replaces the even load by this many bursts; each is
	// BurstPart of the team's burst and lands on BurstNodes nodes within
	// 200 ms.
	Bursts     int
	BurstFraction  float64
	BurstNodes int
	// Misestimate lets actual counts differ from the estimates.
	Misestimate bool
	// Duration is the time for which load is offered.
	Duration time.Duration
	Faults   []Fault

	// DisabledRule switches one rule off, to show that the proof needs it.
	DisabledRule Rule
}

// warmUp is the time before the load: joins, takeover waits, buckets filling.
const warmUp = 9 * time.Second

// has reports whether a fault of the kind is active at the time after the
// start of the load.
func (s *Scenario) has(kind FaultKind, at time.Duration) bool {
	for _, f := range s.Faults {
		if f.Kind == kind && at >= f.At && at < f.At+f.Duration {
			return true
		}
	}
	return false
}
