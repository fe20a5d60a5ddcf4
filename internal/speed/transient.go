package speed

import "time"

// Use of the work time that an upstream states for this moment.
const (
	// transientTTL is how long it is used. It changes many times a second.
	transientTTL = 150 * time.Millisecond
	// transientWeight is the part of it that is used, since it is out of date when the
	// next request needs it.
	transientWeight = 0.3
)

// transient is the last work time that an upstream stated, relative to its usual one.
type transient struct {
	ratio float64
	at    time.Time
}

// factor returns what the estimate is multiplied with. An upstream that states too short a
// time gains less than transientWeight from it.
func (t *transient) factor(now time.Time) float64 {
	if t.ratio <= 0 || now.Sub(t.at) >= transientTTL {
		return 1
	}
	return 1 + transientWeight*(clamp(t.ratio, 1.0/maxFactor, maxFactor)-1)
}
