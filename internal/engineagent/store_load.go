package engineagent

import "time"

// storeLoad tracks a load from the weight store. The more of these loads run on
// all engines together, the longer each takes.
type storeLoad struct {
	startedAt time.Time
	// nominal is the configured duration of a load when no other load runs.
	nominal time.Duration
	// slowdown is the duration of the last load divided by nominal, or 0 if
	// unknown.
	slowdown float64
}

func (l *storeLoad) start(now time.Time, d time.Duration) { l.startedAt, l.nominal = now, d }

// finish ends the load when the engine reports that it executes no order, and reports whether there was one. A load
// that ends within half of nominal does not count for the slowdown: the report may
// be older than the order, or the engine may have refused the order.
func (l *storeLoad) finish(now time.Time) (ended bool) {
	if l.startedAt.IsZero() {
		return false
	}
	if took := now.Sub(l.startedAt); l.nominal > 0 && took >= l.nominal/2 {
		l.slowdown = took.Seconds() / l.nominal.Seconds()
	}
	l.startedAt = time.Time{}
	return true
}

// overrunFactor estimates the remaining time of an overdue load as a fraction
// of the time that it has taken so far.
const overrunFactor = 0.25

// remaining estimates how long an overdue load will still take.
func (l *storeLoad) remaining(now time.Time) time.Duration {
	if l.startedAt.IsZero() {
		return 0
	}
	return time.Duration(overrunFactor * float64(now.Sub(l.startedAt)))
}
