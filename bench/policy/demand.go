package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// demand is the offered load of one request class of one team.
type demand struct {
	team  int
	class fairqueue.Class
	// rate is in tokens a second.
	rate float64
}

// arrival is one request with its arrival time.
type arrival struct {
	at      time.Duration
	team    int
	request fairqueue.Request
	// slack is the time from the arrival to the latest start that still meets the
	// deadline.
	slack time.Duration
}

// meanTokens is the mean size of a request. Sizes vary by up to half of it.
const meanTokens = 200

// slackBounds are the minimum and maximum slack of each class.
var slackBounds = [3][2]time.Duration{
	fairqueue.Urgent: {2 * time.Second, 10 * time.Second},
	fairqueue.Normal: {10 * time.Second, 30 * time.Second},
	fairqueue.Bulk:   {60 * time.Second, 180 * time.Second},
}

// poissonArrivals draws the arrivals of independent Poisson processes, one per
// demand, in order of time.
func poissonArrivals(dep deployment, demands []demand, seed uint64, d time.Duration) []arrival {
	var out []arrival
	for i, x := range demands {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); x.rate > 0; {
			at += time.Duration(rng.ExpFloat64() * meanTokens / x.rate * float64(time.Second))
			if at >= d {
				break
			}
			out = append(out, x.arrival(dep, rng, at))
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (x demand) arrival(dep deployment, rng *rand.Rand, at time.Duration) arrival {
	tokens := meanTokens * (0.5 + rng.Float64())
	bounds := slackBounds[x.class]
	return arrival{
		at:    at,
		team:  x.team,
		slack: bounds[0] + time.Duration(rng.Int64N(int64(bounds[1]-bounds[0]))),
		request: fairqueue.Request{
			Team:             fmt.Sprint(x.team),
			Weight:           teamWeights()[x.team],
			Class:            x.class,
			Tokens:           tokens,
			ExpectedDuration: time.Duration(tokens / dep.speed * float64(time.Second)),
		},
	}
}
