package coldstart

import (
	"math/rand/v2"
	"time"
)

// request is one request of a burst.
type request struct {
	at       time.Duration
	model    int
	adapter  bool
	urgent   bool
	home     int
	deadline time.Duration
}

// newBurst draws a burst for the site. The popularity of models follows a Zipf
// distribution, and the requests for a model are mostly urgent or mostly bulk.
func newBurst(s Site, rng *rand.Rand) []request {
	zipf := rand.NewZipf(rng, 1.2, 2, uint64(s.Models-1))
	modelByRank, bulk := rng.Perm(s.Models), make([]bool, s.Models)
	for i := range bulk {
		bulk[i] = rng.Float64() >= s.UrgentShare
	}
	out := make([]request, s.Requests)
	at := time.Duration(0)
	for i := range out {
		at += time.Duration(rng.ExpFloat64() * float64(s.ArrivalSpan) / float64(s.Requests))
		r := request{at: at, model: modelByRank[zipf.Uint64()], adapter: rng.Float64() < 0.5, home: rng.IntN(s.Homes)}
		r.urgent = bulk[r.model] == (rng.Float64() < 0.1)
		r.deadline = r.at + s.BulkDeadline
		if r.urgent {
			r.deadline = r.at + s.UrgentDeadline
		}
		out[i] = r
	}
	return out
}
