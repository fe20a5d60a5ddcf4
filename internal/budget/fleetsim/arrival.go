package fleetsim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// arrival is one request of the workload.
type arrival struct {
	at     time.Duration
	team   string
	node   int
	tokens float64
	// actual is the token count with which the request is settled, settleAfter
	// the time from admission to settlement.
	actual      float64
	settleAfter time.Duration
}

// arrivals generates the workload, which depends only on the scenario and its seed.
func (s *Scenario) arrivals() []arrival {
	var out []arrival
	ids := make([]string, 0, len(s.Teams))
	for id := range s.Teams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		if s.Bursts > 0 {
			out = append(out, s.burstArrivals(rng, id, s.Teams[id])...)
			continue
		}
		out = append(out, s.poissonArrivals(rng, id, s.Teams[id])...)
	}
	slices.SortFunc(out, func(a, b arrival) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.team, b.team))
	})
	return out
}

func (s *Scenario) poissonArrivals(rng *rand.Rand, id string, team config.Team) []arrival {
	var out []arrival
	mean := s.MeanTokens * team.BurstTokens
	for at := time.Duration(0); ; {
		load := s.Load
		if s.faultActive(Overload, at) {
			load = 5
		}
		perS := load * team.RateTokensPerS / mean
		at += time.Duration(rng.ExpFloat64() / perS * float64(time.Second))
		if at >= s.Duration {
			return out
		}
		out = append(out, s.newArrival(rng, id, at, rng.IntN(s.Nodes), mean))
	}
}

func (s *Scenario) burstArrivals(rng *rand.Rand, id string, team config.Team) []arrival {
	var out []arrival
	mean := s.MeanTokens * team.BurstTokens
	for b := range s.Bursts {
		start := s.Duration * time.Duration(b) / time.Duration(s.Bursts)
		firstNode := rng.IntN(s.Nodes)
		for sum := 0.0; ; {
			at := start + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
			a := s.newArrival(rng, id, at, (firstNode+rng.IntN(s.BurstNodes))%s.Nodes, mean)
			sum += a.tokens
			if sum > s.BurstFraction*team.BurstTokens {
				break
			}
			out = append(out, a)
		}
	}
	return out
}

// newArrival draws a size between 0.5 and 1.5 times the mean.
func (s *Scenario) newArrival(rng *rand.Rand, id string, at time.Duration, node int, mean float64) arrival {
	a := arrival{at: at, team: id, node: node}
	a.tokens = math.Ceil(mean * (0.5 + rng.Float64()))
	a.actual = a.tokens
	factor := 0.6 + 0.8*rng.Float64()
	a.settleAfter = time.Duration(rng.Int64N(int64(time.Second)))
	if s.Misestimate {
		a.actual = math.Ceil(a.tokens * factor)
	}
	return a
}
