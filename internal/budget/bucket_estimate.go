package budget

import (
	"math"
	"time"
)

// growthMaxAge is how long the growth observed in one answer is used for
// estimates. After that the holders that competed for the bucket may have stopped,
// so that it may have filled at its full rate.
const growthMaxAge = time.Second

// minGrowth is the lowest growth used in estimates. Without it the holder would
// not ask for a contended share again until growthMaxAge has passed.
const minGrowth = 0.05

// bucketEstimate is the last state of a share's bucket that a holder knows of. The
// holder estimates the current level from it. The zero value stands for a full
// bucket.
type bucketEstimate struct {
	// left is the bucket's level as of at.
	left float64
	at   time.Time
	// skipUntil is when the holder may ask for this share again after the owner
	// refused or did not answer.
	skipUntil time.Time
	// growth is the observed net growth of the bucket relative to the share's
	// rate. It is below 1 while other holders take from the bucket. If the holder
	// assumed the full rate during that time, most of its requests would get
	// nothing and only load the network.
	growth float64
}

// level estimates the number of tokens in the bucket now. With useGrowth it assumes
// the observed growth, otherwise the full rate, which gives the highest possible
// number.
func (e *bucketEstimate) level(now time.Time, rate, size float64, useGrowth bool) float64 {
	if now.Before(e.skipUntil) {
		return 0
	}
	if e.at.IsZero() {
		return size
	}
	age := now.Sub(e.at)
	if useGrowth && age < growthMaxAge {
		rate *= e.growth
	}
	return math.Min(size, e.left+rate*age.Seconds())
}

// update records an answer of the owner: the tokens granted and the tokens left
// in the bucket.
func (e *bucketEstimate) update(now time.Time, granted, left, rate float64) {
	growth := 1.0
	if age := now.Sub(e.at).Seconds(); !e.at.IsZero() && age > 0 && age < growthMaxAge.Seconds() {
		observed := (left + granted - e.left) / (rate * age)
		growth = (e.growth + math.Max(minGrowth, math.Min(1, observed))) / 2
	}
	*e = bucketEstimate{left: left, at: now, growth: growth}
}
