package fleetsim

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Scenario describes one simulation run.
type Scenario struct {
	Seed  uint64
	Nodes int
	DCs   int
	Teams map[string]config.Team
	// Load is each team's offered load relative to its rate.
	Load float64
	// MeanTokens is the mean size of a request as a part of the team's burst.
	MeanTokens float64
	// Bursts, if positive, replaces the Poisson arrivals by this many bursts.
	// Each one is the BurstFraction of the team's burst and arrives at BurstNodes
	// nodes within 200 ms.
	Bursts        int
	BurstFraction float64
	BurstNodes    int
	// Misestimate makes the actual token counts differ from the estimates.
	Misestimate bool
	// Duration is the time for which load is offered.
	Duration time.Duration
	Faults   []Fault

	// DisabledRule, if set, is not applied. The bound must then be violated in
	// some cells, which shows that the rule is needed and the checker works.
	DisabledRule Rule
}

// warmUp is the time before the load starts, in which nodes join, takeover waits
// end and buckets fill.
const warmUp = 9 * time.Second

// faultActive reports whether a fault of the kind is active. The time at counts
// from the start of the load.
func (s *Scenario) faultActive(kind FaultKind, at time.Duration) bool {
	for _, f := range s.Faults {
		if f.Kind == kind && at >= f.At && at < f.At+f.Duration {
			return true
		}
	}
	return false
}
