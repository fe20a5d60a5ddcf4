package budget

import (
	"math"
	"time"
)

// growthMaxAge is how long an observed growth is used. After that the bucket may
// have filled at its full rate, because the holders that competed for it may
// have stopped.
const growthMaxAge = time.Second

// minGrowth is the lowest growth used in estimates. Without it the holder would
// not ask for a contended share at all until growthMaxAge has passed.
const minGrowth = 0.05

// hint is a holder's last known state of a share's bucket, from which it
// estimates the current level. The zero value stands for a full bucket.
type hint struct {
	// left is the bucket's level as of at.
	left float64
	at   time.Time
	// skipUntil is when the holder may ask for this share again after the owner
	// refused or did not answer.
	skipUntil time.Time
	// growth is the observed net growth of the bucket relative to the share's
	// rate. It is below 1 while other holders take from the bucket. If the
	// holder assumed the full rate then, most of its requests would get nothing
	// and would load the network.
	growth float64
}

// level estimates the tokens in the bucket now: the expected number by the
// observed growth if useGrowth is set, otherwise the highest possible one.
func (h *hint) level(now time.Time, rate, size float64, useGrowth bool) float64 {
	if now.Before(h.skipUntil) {
		return 0
	}
	if h.at.IsZero() {
		return size
	}
	age := now.Sub(h.at)
	if useGrowth && age < growthMaxAge {
		rate *= h.growth
	}
	return math.Min(size, h.left+rate*age.Seconds())
}

// update records an answer of the owner: the tokens granted and the tokens left
// in the bucket.
func (h *hint) update(now time.Time, granted, left, rate float64) {
	growth := 1.0
	if age := now.Sub(h.at).Seconds(); !h.at.IsZero() && age > 0 && age < growthMaxAge.Seconds() {
		observed := (left + granted - h.left) / (rate * age)
		growth = (h.growth + math.Max(minGrowth, math.Min(1, observed))) / 2
	}
	*h = hint{left: left, at: now, growth: growth}
}
