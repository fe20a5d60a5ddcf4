package upstream

import (
	"math"
	"time"
)

// Parameters of the limit on concurrent loads from the weight store.
const (
	// initialStoreLimit is used until loads have been observed. Weight stores
	// in use serve 2 to 4 loads at full speed.
	initialStoreLimit = 3
	maxStoreLimit     = 16
	// maxFullSpeedSlowdown is the slowdown up to which a load counts as running
	// at full speed. One load too many among five that overlap in part takes 1.2
	// times as long, and the reports of its end some percent more.
	maxFullSpeedSlowdown = 1.1
	// slowedTTL is for how long the limit does not return to a number of loads that was too many. A
	// load at that number takes all others with it.
	slowedTTL = time.Minute
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
type storeLimit struct {
	learned int
	// slowed is the smallest number of concurrent loads at which one was slowed down, as of slowedAt.
	slowed   int
	slowedAt time.Time
}

func (l *storeLimit) limit() int {
	if l.learned == 0 {
		return initialStoreLimit
	}
	return l.learned
}

// recordLoad adjusts the limit after a load that took slowdown times its
// nominal time. running is the number of concurrent loads, itself included.
func (l *storeLimit) recordLoad(slowdown float64, running int, now time.Time) {
	switch {
	case slowdown <= 0:
	case slowdown > maxFullSpeedSlowdown:
		if running > 1 && (l.slowed == 0 || running < l.slowed || now.Sub(l.slowedAt) > slowedTTL) {
			l.slowed, l.slowedAt = running, now
		}
		l.learned = min(l.limit(), max(1, int(math.Round(float64(running)/slowdown))))
	case running >= l.limit() && (l.slowed == 0 || l.limit()+1 < l.slowed || now.Sub(l.slowedAt) > slowedTTL):
		l.learned = min(maxStoreLimit, l.limit()+1)
	}
}
