package upstream

import "math"

// Figures of the number of concurrent loads from the weight store.
const (
	// firstStoreLimit is used until loads have been seen. The stores of both users
	// serve 2 to 4 loads at full speed.
	firstStoreLimit = 3
	maxStoreLimit   = 16
	// undisturbed is the slowdown up to which a load counts as one at full speed.
	undisturbed = 1.2
)

// storeLimit is how many loads from the weight store may run at once at all
// engines. Beyond a number that the platform does not tell, each load takes
// longer in proportion, so that more of them finish none sooner, while every
// engine that loads takes no other order. The number is learned from how long
// loads took.
//
// It answers the loss of several engines at once: dozens of models are then only
// in the weight store, and loading all of them at once keeps every engine from
// loading adapters and models that it has on disk.
type storeLimit struct{ learned int }

func (l *storeLimit) limit() int {
	if l.learned == 0 {
		return firstStoreLimit
	}
	return l.learned
}

// took notes that a load which ran beside running-1 others took slowdown times
// its nominal time.
func (l *storeLimit) took(slowdown float64, running int) {
	switch {
	case slowdown <= 0:
	case slowdown > undisturbed:
		l.learned = min(l.limit(), max(1, int(math.Round(float64(running)/slowdown))))
	case running >= l.limit():
		l.learned = min(maxStoreLimit, l.limit()+1)
	}
}
