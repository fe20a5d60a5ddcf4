package engineagent

import (
	"math"
	"time"
)

// StoreLoadLimit are the platform's bounds on loads from the weight store, over
// all engines together.
type StoreLoadLimit struct {
	Window time.Duration
	// RateFactor is what the rate may be exceeded by, as a factor.
	RateFactor float64
}

const (
	// storeSlack loads a window are allowed beyond the rate.
	storeSlack = 3.0
	// storeUse of the bound is spent; the rest covers engines that are not known yet.
	storeUse = 0.85
	// storeMargin covers orders that are carried out late.
	storeMargin = 500 * time.Millisecond
)

// storeWindow spaces this engine's loads from the weight store. Each agent
// keeps to an equal part of the bound, so that the sum holds without talking to
// the others. Where the part is below one load a window, the engines take turns
// by the time of day.
type storeWindow struct {
	bounds StoreLoadLimit
	begun  []time.Time
}

// sharing is how many engines share the weight store, and the place of this one
// among them.
type sharing struct {
	engines, rank int
}

// allowed reports whether a load may begin when engines share a rate of loads.
func (w *storeWindow) allowed(now time.Time, rate float64, s sharing) bool {
	if s.engines <= 0 || rate <= 0 {
		return false
	}
	share := storeUse * (rate*w.bounds.Window.Seconds()*w.bounds.RateFactor + storeSlack) / float64(s.engines)
	span := w.bounds.Window + storeMargin
	if share >= 1 {
		return w.since(now.Add(-span)) < int(share)
	}
	// Any window touches at most two turns, so each turn has half of the bound.
	const turnsInWindow = 2
	turns := int64(math.Ceil(turnsInWindow / share))
	return now.UnixNano()/int64(span)%turns == int64(s.rank)%turns && w.since(now.Add(-turnsInWindow*span)) == 0
}

// since counts the loads that began after a time.
func (w *storeWindow) since(t time.Time) int {
	n := 0
	for _, begun := range w.begun {
		if begun.After(t) {
			n++
		}
	}
	return n
}

func (w *storeWindow) add(now time.Time) {
	const keep = 64
	w.begun = append(w.begun, now)
	if len(w.begun) > keep {
		w.begun = w.begun[len(w.begun)-keep:]
	}
}
