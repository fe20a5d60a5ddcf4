package coldstart

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/residency"
)

const (
	// warmSpan is the time that a keep-warm run covers.
	warmSpan = 72 * time.Hour
	// initialKeep is the product's time before it has learned one.
	initialKeep = 5 * time.Minute
	// price is the product's default worth of a cold start.
	price = 5 * time.Minute
)

// usage is the use of one checkpoint: bursts with gaps between them.
type usage struct {
	gaps []time.Duration
}

// newUsages draws the uses of a site's checkpoints: one in twenty every few
// minutes, 8% about hourly, and the rest, most of them, every 16 hours. About
// 13% then wake within an hour, the figure of section 2.5 of the design.
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
		for at := time.Duration(0); at < warmSpan; {
			gap := time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()))
			out[i].gaps = append(out[i].gaps, gap)
			at += gap
		}
	}
	return out
}

// WarmResult is the outcome of one keep-warm policy.
type WarmResult struct {
	// Cold is the number of bursts that met an unloaded checkpoint, of Bursts.
	Cold, Bursts int
	// Idle is the time for which replicas stayed loaded without use.
	Idle time.Duration
	// Reloads is the number of planned reloads.
	Reloads int
}

// learned holds each checkpoint in the window that it learns.
func learned(all []usage) (r WarmResult) {
	for _, u := range all {
		var w residency.GapHistogram
		for _, gap := range u.gaps {
			r.addWindow(gap, w.Window(initialKeep, price))
			w.Record(gap)
		}
	}
	return r
}

// addWindow adds one gap under a learned window.
func (r *WarmResult) addWindow(gap time.Duration, w residency.KeepWarmWindow) {
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

// fixed keeps every checkpoint for the same time.
func fixed(all []usage, keep time.Duration) (r WarmResult) {
	for _, u := range all {
		for _, gap := range u.gaps {
			r.add(gap, keep)
		}
	}
	return r
}

func (r *WarmResult) add(gap, keep time.Duration) {
	r.Bursts++
	r.Idle += min(gap, keep)
	if gap > keep {
		r.Cold++
	}
}

// matching returns the shortest fixed time, to 10 s, that has no more cold
// bursts than want. As each cold burst waits for one load, the distributions
// of cold-start time are then equal.
func matching(all []usage, want int) (time.Duration, WarmResult) {
	low, high := 0, int(12*time.Hour/(10*time.Second))
	for low < high {
		mid := (low + high) / 2
		if fixed(all, time.Duration(mid)*10*time.Second).Cold <= want {
			high = mid
		} else {
			low = mid + 1
		}
	}
	keep := time.Duration(low) * 10 * time.Second
	return keep, fixed(all, keep)
}
