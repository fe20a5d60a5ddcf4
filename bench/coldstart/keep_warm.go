package coldstart

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/residency"
)

const (
	// keepWarmSpan is the simulated time of a keep-warm run.
	keepWarmSpan = 72 * time.Hour
	// initialKeepWarm is the product's keep-warm time before it has learned one.
	initialKeepWarm = 5 * time.Minute
	// coldStartCost is the idle time that, by the product's default, costs as much as
	// one cold start.
	coldStartCost = 5 * time.Minute
)

// usage is the use of one checkpoint, given as the gaps between its bursts.
type usage struct {
	gaps []time.Duration
}

// newUsages draws the usage of each checkpoint of a site. 5% are used every few
// minutes, 8% about every hour and the rest about every 16 hours. About 13% are then
// used again within an hour, as in section 2.5 of the design.
func newUsages(s Site, rng *rand.Rand) []usage {
	out := make([]usage, s.Models+s.Adapters)
	for i := range out {
		mean, sigma := 16*time.Hour, 0.8
		switch draw := float64(i) / float64(len(out)); {
		case draw < 0.05:
			mean, sigma = 4*time.Minute, 0.5
		case draw < 0.13:
			mean, sigma = time.Hour, 0.7
		}
		for at := time.Duration(0); at < keepWarmSpan; {
			gap := time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()))
			out[i].gaps = append(out[i].gaps, gap)
			at += gap
		}
	}
	return out
}

// KeepWarmResult is the result of one keep-warm policy.
type KeepWarmResult struct {
	// Cold is the number of bursts, out of Bursts, that found their checkpoint not
	// loaded.
	Cold, Bursts int
	// Idle is the time that replicas were loaded but unused.
	Idle time.Duration
	// Reloads is the number of planned reloads.
	Reloads int
}

// simulateLearned keeps each checkpoint loaded during the window that is learned
// from its earlier gaps.
func simulateLearned(all []usage) (r KeepWarmResult) {
	for _, u := range all {
		var w residency.GapHistogram
		for _, gap := range u.gaps {
			r.addLearned(gap, w.Window(initialKeepWarm, coldStartCost))
			w.Record(gap)
		}
	}
	return r
}

// addLearned adds one gap under a learned window.
func (r *KeepWarmResult) addLearned(gap time.Duration, w residency.KeepWarmWindow) {
	r.Bursts++
	if !w.KeepsLoaded(gap) {
		r.Cold++
	}
	if w.From == 0 {
		r.Idle += min(gap, max(w.To, residency.MinKeepWarm))
		return
	}
	r.Idle += min(gap, residency.MinKeepWarm)
	if reload := w.From - residency.ReloadLead; gap > reload {
		r.Reloads++
		r.Idle += min(gap, w.To) - reload
	}
}

// simulateFixed keeps every checkpoint loaded for the same time after each use.
func simulateFixed(all []usage, keepWarm time.Duration) (r KeepWarmResult) {
	for _, u := range all {
		for _, gap := range u.gaps {
			r.addFixed(gap, keepWarm)
		}
	}
	return r
}

func (r *KeepWarmResult) addFixed(gap, keepWarm time.Duration) {
	r.Bursts++
	r.Idle += min(gap, keepWarm)
	if gap > keepWarm {
		r.Cold++
	}
}

// shortestFixed returns the shortest fixed keep-warm time, in steps of 10 s, that has
// at most maxCold cold bursts. As each cold burst waits for one load, the
// distributions of cold-start time are then equal.
func shortestFixed(all []usage, maxCold int) (time.Duration, KeepWarmResult) {
	low, high := 0, int(12*time.Hour/(10*time.Second))
	for low < high {
		mid := (low + high) / 2
		if simulateFixed(all, time.Duration(mid)*10*time.Second).Cold <= maxCold {
			high = mid
		} else {
			low = mid + 1
		}
	}
	keepWarm := time.Duration(low) * 10 * time.Second
	return keepWarm, simulateFixed(all, keepWarm)
}
