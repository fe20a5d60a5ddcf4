package engineagent

import (
	"math"
	"time"
)

// StoreLoadLimit is the platform's limit on starting loads from the weight
// store, for all engines together.
type StoreLoadLimit struct {
	Window time.Duration
	// RateFactor is the permitted rate divided by the configured rate.
	RateFactor float64
}

const (
	// storeLoadBurst is the number of loads per window permitted beyond the rate.
	storeLoadBurst = 3.0
	// storeLimitUtilization is the part of the limit that the agents use. The rest
	// is reserved for engines that the entry instances do not know yet.
	storeLimitUtilization = 0.85
	// lateOrderMargin extends the window because the engine may execute an order
	// late.
	lateOrderMargin = 500 * time.Millisecond
)

// storeLoadLimiter limits how often this engine starts loads from the weight
// store. Each agent uses an equal share of the limit, so the agents need no
// coordination. If the share is less than one load per window, the engines take
// turns in time slots derived from the wall clock.
type storeLoadLimiter struct {
	limit   StoreLoadLimit
	started []time.Time
}

// storeShare is the number of engines that share the weight store, and the rank
// of this engine among them.
type storeShare struct {
	engines, rank int
}

// allowed reports whether a load may start now. rate is the configured number
// of loads per second for all engines together.
func (l *storeLoadLimiter) allowed(now time.Time, rate float64, s storeShare) bool {
	if s.engines <= 0 || rate <= 0 {
		return false
	}
	share := storeLimitUtilization * (rate*l.limit.Window.Seconds()*l.limit.RateFactor + storeLoadBurst) / float64(s.engines)
	span := l.limit.Window + lateOrderMargin
	if share >= 1 {
		return l.countSince(now.Add(-span)) < int(share)
	}
	// A window overlaps at most two slots, so each slot gets half of the limit.
	const slotsPerWindow = 2
	slots := int64(math.Ceil(slotsPerWindow / share))
	return now.UnixNano()/int64(span)%slots == int64(s.rank)%slots && l.countSince(now.Add(-slotsPerWindow*span)) == 0
}

// countSince counts the loads that started after t.
func (l *storeLoadLimiter) countSince(t time.Time) int {
	count := 0
	for _, startedAt := range l.started {
		if startedAt.After(t) {
			count++
		}
	}
	return count
}

func (l *storeLoadLimiter) record(now time.Time) {
	const maxKept = 64
	l.started = append(l.started, now)
	if len(l.started) > maxKept {
		l.started = l.started[len(l.started)-maxKept:]
	}
}
