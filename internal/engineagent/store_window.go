package engineagent

import (
	"math"
	"time"
)

// StoreBounds are the platform's bounds on loads from the weight store, over
// all engines together.
type StoreBounds struct {
	Window time.Duration
	// Over is what the rate may be exceeded by, as a factor.
	Over float64
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
// the others.
type storeWindow struct {
	bounds StoreBounds
	begun  []time.Time
}

// allowed reports whether a load may begin when engines share a rate of loads.
func (w *storeWindow) allowed(now time.Time, rate float64, engines int) bool {
	if engines <= 0 || rate <= 0 {
		return false
	}
	share := storeUse * (rate*w.bounds.Window.Seconds()*w.bounds.Over + storeSlack) / float64(engines)
	most, span := int(share), w.bounds.Window+storeMargin
	if most < 1 {
		most, span = 1, time.Duration(math.Ceil(1/share))*w.bounds.Window+storeMargin
	}
	recent := 0
	for _, t := range w.begun {
		if now.Sub(t) < span {
			recent++
		}
	}
	return recent < most
}

func (w *storeWindow) add(now time.Time) {
	const keep = 64
	w.begun = append(w.begun, now)
	if len(w.begun) > keep {
		w.begun = w.begun[len(w.begun)-keep:]
	}
}
