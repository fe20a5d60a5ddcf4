package upstream

import "math"

// Parameters of the limit on concurrent loads from the weight store.
const (
	// initialStoreLimit is used until loads have been observed. Weight stores
	// in use serve 2 to 4 loads at full speed.
	initialStoreLimit = 3
	maxStoreLimit     = 16
	// maxFullSpeedSlowdown is the slowdown up to which a load counts as running
	// at full speed.
	maxFullSpeedSlowdown = 1.2
)

// storeLimit is an adaptive limit on concurrent loads from the weight store by
// all engines. The store serves some number of loads at full speed, which the
// platform does not report. Beyond it every load slows down in proportion, so
// extra loads gain no throughput, and an engine takes no other order while it
// loads. The number is learned from the duration of loads.
//
// The limit matters when several engines are lost at once. Dozens of models are
// then only in the weight store, and loading all of them at once would keep every
// engine from loading adapters and models that it has on disk.
type storeLimit struct{ learned int }

func (l *storeLimit) limit() int {
	if l.learned == 0 {
		return initialStoreLimit
	}
	return l.learned
}

// recordLoad adjusts the limit after a load that took slowdown times its
// nominal time. running is the number of concurrent loads, itself included.
func (l *storeLimit) recordLoad(slowdown float64, running int) {
	switch {
	case slowdown <= 0:
	case slowdown > maxFullSpeedSlowdown:
		l.learned = min(l.limit(), max(1, int(math.Round(float64(running)/slowdown))))
	case running >= l.limit():
		l.learned = min(maxStoreLimit, l.limit()+1)
	}
}
