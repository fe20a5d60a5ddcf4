package policy

import (
	"fmt"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// workload is the offered load of a fairness experiment.
type workload struct {
	name string
	// demands returns the load, given the fair share of each team.
	demands func(shares []float64) []demand
	// entitlement returns the tokens a second that a team with the given fair share is
	// entitled to in the measured classes.
	entitlement func(share float64) float64
	isMeasured  func(team int, class fairqueue.Class) bool
}

// splitByClass splits a team's load among the classes.
func splitByClass(team int, rate float64) []demand {
	return []demand{
		{team, fairqueue.Urgent, 0.4 * rate},
		{team, fairqueue.Normal, 0.4 * rate},
		{team, fairqueue.Bulk, 0.2 * rate},
	}
}

// oneTeamOverload returns a workload in which the first team sends five times its
// fair share and each other team sends the given fraction of its own.
func oneTeamOverload(others float64) workload {
	return workload{
		name: fmt.Sprintf("one team at 5 x its share, others at %.1f x", others),
		demands: func(shares []float64) []demand {
			out := splitByClass(0, 5*shares[0])
			for team := 1; team < len(shares); team++ {
				out = append(out, splitByClass(team, others*shares[team])...)
			}
			return out
		},
		entitlement: func(share float64) float64 { return min(1, others) * share },
		isMeasured:  func(team int, _ fairqueue.Class) bool { return team > 0 },
	}
}

// bulkShare is the fraction of a team's share that is guaranteed to bulk requests.
const bulkShare = 0.2

// negligibleShare is a bulk share so small that urgent and normal requests always
// come first.
const negligibleShare = 1e-9

// urgentOverload returns a workload in which every team sends urgent requests at
// twice its fair share, and bulk requests at 1.5 times the bulk guarantee.
func urgentOverload() workload {
	return workload{
		name: "bulk while urgent is at 2 x the team's share",
		demands: func(shares []float64) []demand {
			var out []demand
			for team, share := range shares {
				out = append(out, demand{team, fairqueue.Urgent, 2 * share}, demand{team, fairqueue.Bulk, 1.5 * bulkShare * share})
			}
			return out
		},
		entitlement: func(share float64) float64 { return bulkShare * share },
		isMeasured:  func(_ int, class fairqueue.Class) bool { return class == fairqueue.Bulk },
	}
}
