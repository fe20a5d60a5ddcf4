package coldstart

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSimulateRespectsStoreLimits guards against a simulated store that exceeds its
// rate or concurrency limit, which would make the measured cold starts too short, and
// against requests that the simulation loses.
func TestSimulateRespectsStoreLimits(t *testing.T) {
	is := is.New(t)
	for _, s := range Sites() {
		rng := rand.New(rand.NewPCG(1, 1))
		burst := newBurst(s, rng)
		times := loadTimes(s, rng)
		for _, p := range Policies() {
			got := simulate(s, p, burst, times, false)
			is.Equal(len(got), s.Requests)
			loads := map[[2]int]bool{}
			busy := time.Duration(0)
			for _, r := range burst {
				home := r.home
				if p.FirstHome {
					home = 0
				}
				if key := [2]int{r.model, home}; !loads[key] {
					loads[key] = true
					busy += times[r.model]
				}
			}
			last := time.Duration(0)
			for _, g := range got {
				last = max(last, g.wait)
			}
			is.True(last+s.ArrivalSpan >= busy/time.Duration(s.MaxConcurrentLoads))        // concurrency limit
			is.True((last + s.ArrivalSpan).Seconds() >= float64(len(loads)-1)/s.LoadsPerS) // rate limit
		}
	}
}

// TestShortestFixed checks that the fixed time that the learned one is compared with
// has no more cold bursts than allowed, and that a time 10 s shorter has more.
func TestShortestFixed(t *testing.T) {
	is := is.New(t)
	all := newUsages(Sites()[0], rand.New(rand.NewPCG(1, 2)))
	maxCold := simulateLearned(all).Cold
	keepWarm, r := shortestFixed(all, maxCold)
	is.True(r.Cold <= maxCold)
	is.True(simulateFixed(all, keepWarm-10*time.Second).Cold > maxCold)
}
