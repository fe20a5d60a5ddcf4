package fleetsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Violation is a time window in which a team spent more than its rate and burst
// allow.
type Violation struct {
	Team string
	// From and To are the ends of the window, counted from the first charge.
	From, To time.Duration
	// Excess is the number of tokens spent beyond rate x t + burst.
	Excess float64
}

// tolerance is the rounding error allowed in floating-point sums, in tokens.
const tolerance = 1e-3

// Check examines every time window of the history of charges. For each team that
// exceeded its rate and burst it returns the window with the largest excess.
func Check(charges []budget.Charge, teams map[string]config.Team) []Violation {
	var out []Violation
	for id, team := range teams {
		if v, found := worstWindow(sumByTime(charges, id), team); found {
			v.Team = id
			out = append(out, v)
		}
	}
	return out
}

// spending is the net number of tokens spent at one time.
type spending struct {
	at     time.Time
	tokens float64
}

// sumByTime sums the charges of one team by time, so that a settlement counts at
// the time of the reservation that it corrects.
func sumByTime(charges []budget.Charge, team string) []spending {
	var list []spending
	for _, c := range charges {
		if c.Team == team {
			list = append(list, spending{c.At, c.Tokens})
		}
	}
	slices.SortStableFunc(list, func(a, b spending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.tokens, a.tokens))
	})
	var out []spending
	for _, s := range list {
		if len(out) > 0 && out[len(out)-1].at.Equal(s.at) {
			out[len(out)-1].tokens += s.tokens
			continue
		}
		out = append(out, s)
	}
	return out
}

// worstWindow finds the window that maximizes the sum less rate x t. For each end
// of a window, the best start is either the best start for the previous end or
// the end itself.
func worstWindow(list []spending, team config.Team) (Violation, bool) {
	var (
		worst Violation
		sum   float64
		from  time.Time
		found bool
	)
	excess := tolerance
	for i, s := range list {
		if i > 0 {
			sum -= team.RateTokensPerS * s.at.Sub(list[i-1].at).Seconds()
		}
		if i == 0 || sum <= 0 {
			sum, from = 0, s.at
		}
		sum += s.tokens
		if over := sum - team.BurstTokens; over > excess {
			excess, found = over, true
			worst = Violation{From: from.Sub(list[0].at), To: s.at.Sub(list[0].at), Excess: math.Round(over)}
		}
	}
	return worst, found
}
