package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// demand is the offered load of one class of one team.
type demand struct {
	team  int
	class fairqueue.Class
	// rate is in tokens a second.
	rate float64
}

// offer is one request of the workload.
type offer struct {
	at      time.Duration
	team    int
	request fairqueue.Request
	// slack is the time from arrival to the latest start.
	slack time.Duration
}

// meanTokens is the mean size of a request; sizes lie within half of it.
const meanTokens = 200

// slacks are the bounds of the time to the latest start, per class.
var slacks = [3][2]time.Duration{
	fairqueue.Urgent: {2 * time.Second, 10 * time.Second},
	fairqueue.Normal: {10 * time.Second, 30 * time.Second},
	fairqueue.Bulk:   {60 * time.Second, 180 * time.Second},
}

// offers draws a Poisson workload.
func offers(u user, demands []demand, seed uint64, d time.Duration) []offer {
	var out []offer
	for i, x := range demands {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := time.Duration(0); x.rate > 0; {
			at += time.Duration(rng.ExpFloat64() * meanTokens / x.rate * float64(time.Second))
			if at >= d {
				break
			}
			out = append(out, x.offer(u, rng, at))
		}
	}
	slices.SortStableFunc(out, func(a, b offer) int { return cmp.Compare(a.at, b.at) })
	return out
}

func (x demand) offer(u user, rng *rand.Rand, at time.Duration) offer {
	tokens := meanTokens * (0.5 + rng.Float64())
	bounds := slacks[x.class]
	return offer{
		at:    at,
		team:  x.team,
		slack: bounds[0] + time.Duration(rng.Int64N(int64(bounds[1]-bounds[0]))),
		request: fairqueue.Request{
			Team:             fmt.Sprint(x.team),
			Weight:           weights()[x.team],
			Class:            x.class,
			Tokens:           tokens,
			ExpectedDuration: time.Duration(tokens / u.speed * float64(time.Second)),
		},
	}
}
