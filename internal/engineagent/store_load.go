package engineagent

import "time"

// storeLoad follows a load from the weight store, which takes longer the more
// of them run at all engines.
type storeLoad struct {
	begun time.Time
	// nominal is what the configuration says of an undisturbed load.
	nominal time.Duration
	// slowdown is how many times nominal the last load took; 0 is unknown.
	slowdown float64
}

func (l *storeLoad) begin(now time.Time, nominal time.Duration) { l.begun, l.nominal = now, nominal }

// ended notes that the engine carries out no order. A report from before the
// order, or an order that was refused, ends a load that cannot be over.
func (l *storeLoad) ended(now time.Time) {
	if l.begun.IsZero() {
		return
	}
	if took := now.Sub(l.begun); l.nominal > 0 && took >= l.nominal/2 {
		l.slowdown = took.Seconds() / l.nominal.Seconds()
	}
	l.begun = time.Time{}
}

// overrun is the share of the time it has taken so far that a load which is
// overdue is expected to take yet.
const overrun = 0.25

// left estimates how long a load that began long ago still takes.
func (l *storeLoad) left(now time.Time) time.Duration {
	if l.begun.IsZero() {
		return 0
	}
	return time.Duration(overrun * float64(now.Sub(l.begun)))
}
