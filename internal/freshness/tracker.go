// Package freshness keeps the upper bound of a view's age and judges whether
// an instance may take work (H6, H9, H13, H15).
package freshness

import (
	"sync/atomic"
	"time"
)

// ViewBound is the view age above which no instance admits work, issues
// grants or gives orders. A decision is obeyed everywhere within this time.
const ViewBound = 3 * time.Second

// SelfUnloadAfter is the view age at which an agent unloads idle replicas, so
// that a live engine behind a wrong `removed` holds none that were decided
// elsewhere.
const SelfUnloadAfter = 30 * time.Second

// ContactInterval is the interval of contact messages while the log fails.
const ContactInterval = 500 * time.Millisecond

// Tracker holds the marks of one instance. Its methods are lock-free.
type Tracker struct {
	start time.Time
	bound time.Duration
	// complete is the newest time at which the view held every record.
	complete atomic.Int64
	// outage is the newest time at which the log was known to be out for all.
	outage atomic.Int64
	// answered is when the log last answered this instance itself.
	answered atomic.Int64
}

// New returns a tracker that stops work above the given view age; everything
// but a negative control passes ViewBound.
func New(bound time.Duration) *Tracker {
	t := &Tracker{start: time.Now(), bound: bound}
	t.complete.Store(int64(never))
	t.outage.Store(int64(never))
	t.answered.Store(int64(never))
	return t
}

// Now returns the present on the instance's monotonic clock.
func (t *Tracker) Now() MonoTime { return MonoTime(time.Since(t.start)) }

// RecordComplete records that the view held every record appended before m. The
// caller has applied those records first.
func (t *Tracker) RecordComplete(m MonoTime) { raise(&t.complete, m) }

// RecordOutage records that at m the log was out for everyone.
func (t *Tracker) RecordOutage(m MonoTime) { raise(&t.outage, m) }

// RecordLogAnswer records that the log answered a read of this instance just now.
// A slow answer counts: a log that answers late still takes appends, so it is
// not out.
func (t *Tracker) RecordLogAnswer() { raise(&t.answered, t.Now()) }

// ViewAge returns the upper bound of the time since the view was complete.
func (t *Tracker) ViewAge() time.Duration { return t.age(&t.complete) }

// OutageAge returns the time since the log was known to be out for everyone.
func (t *Tracker) OutageAge() time.Duration { return t.age(&t.outage) }

// LogAge returns the time since the log last answered this instance itself.
func (t *Tracker) LogAge() time.Duration { return t.age(&t.answered) }

// Age returns the age that governs work: that of the newest log read or
// confirmed outage.
func (t *Tracker) Age() time.Duration { return min(t.ViewAge(), t.OutageAge()) }

// MayWork reports whether the view is young enough to act on.
func (t *Tracker) MayWork() bool { return t.Age() <= t.bound }

// MayDecide reports whether appends are allowed. A confirmed outage does not
// count: readers that just confirmed one would miss a decision appended at the
// moment the log returns.
func (t *Tracker) MayDecide() bool { return t.ViewAge() <= t.bound }

func (t *Tracker) age(mark *atomic.Int64) time.Duration {
	return MonoTime(mark.Load()).AgeAt(t.Now())
}

// raise never lowers a mark, so delayed or reordered answers are harmless (F18).
func raise(mark *atomic.Int64, m MonoTime) {
	for {
		old := mark.Load()
		if int64(m) <= old || mark.CompareAndSwap(old, int64(m)) {
			return
		}
	}
}
