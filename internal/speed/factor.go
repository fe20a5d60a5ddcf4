package speed

import (
	"math"
	"time"
)

// Parameters of learned factors.
const (
	// maxFactor bounds a factor either way. Engines in use differ by a factor of two,
	// models by up to four; what is further off is a fault or a wrong observation.
	maxFactor = 4
	// halfLife is the half-life of the weight of past observations. Lasting properties
	// change with the machine or its software, which resets them. At 27 requests a second
	// to 5,600 upstreams, an instance sees an upstream once in 200 s.
	halfLife = 5 * time.Minute
	// maxWeight is the largest weight of past observations. It bounds the number of
	// responses after which a permanent change is known: a change by a factor of two is
	// half learned after about 30.
	maxWeight = 24.0
	// clipWeight is the weight up to which an observation may move a factor by firstClip
	// at full gain, and beyond which by clip (logarithms). An observation that is wrong by a
	// factor of ten, as when a prompt that was thought to be kept is read again, then counts
	// as one that is wrong by the clip.
	clipWeight = 8.0
	firstClip  = 0.9
	clip       = 0.35
)

// factor is a learned ratio, in the logarithm. The zero value is the ratio 1 with no
// observations.
type factor struct {
	log, weight float64
	at          time.Time
}

// weightAt returns the weight of the observations, decayed to now.
func (f *factor) weightAt(now time.Time) float64 {
	if f.weight == 0 {
		return 0
	}
	return f.weight * math.Exp2(-max(0, now.Sub(f.at)).Seconds()/halfLife.Seconds())
}

// gain returns the part of a residual by which the next observation moves the factor.
func (f *factor) gain(now time.Time) float64 { return 1 / (f.weightAt(now) + 2) }

// learn moves the factor by gain times the residual, the logarithm of observed over
// estimated. share, 0 to 1, is how much the observation depends on the factor.
func (f *factor) learn(residual, gain, share float64, now time.Time) {
	w := f.weightAt(now)
	limit := clip
	if w < clipWeight {
		limit = firstClip
	}
	bound := math.Log(maxFactor)
	f.log = clamp(f.log+gain*share*clamp(residual, -limit, limit), -bound, bound)
	f.weight, f.at = min(maxWeight, w+share), now
}

func clamp(v, low, high float64) float64 { return max(low, min(high, v)) }
