// Package freshness tracks how old an instance's view of the platform log is at
// most, and decides from that whether the instance may work (H6, H9, H13, H15).
//
// A few instances, the readers, read the log themselves; the others get its records
// through the relay tree. While the log is down for the whole fleet, nobody can
// append a decision that an instance might miss. The readers confirm such an outage
// with each other by contact messages, and instances whose views are complete may
// go on working.
package freshness

import (
	"sync/atomic"
	"time"
)

// ViewBound is the view age above which no instance admits work, issues grants
// or sends load orders. Every decision therefore takes effect everywhere within
// this time.
const ViewBound = 3 * time.Second

// SelfUnloadAfter is the view age above which an agent unloads idle replicas. This
// matters if a live agent was wrongly recorded as `removed`: its checkpoints may
// then have been placed elsewhere, and it does not see that in its old view.
const SelfUnloadAfter = 30 * time.Second

// ContactInterval is the interval between contact messages while the log fails.
const ContactInterval = 500 * time.Millisecond

// Tracker holds the times from which the ages of one instance's view are
// computed. Its methods are lock-free.
type Tracker struct {
	start time.Time
	bound time.Duration
	// completeAt is the latest time at which the view held every record.
	completeAt atomic.Int64
	// outageAt is the latest time at which the log was known to be down for the whole fleet.
	outageAt atomic.Int64
	// logAnsweredAt is when the log last answered a read of this instance itself.
	logAnsweredAt atomic.Int64
}

// New returns a tracker that forbids work above the given view age. Only negative
// controls pass anything but ViewBound.
func New(bound time.Duration) *Tracker {
	t := &Tracker{start: time.Now(), bound: bound}
	t.completeAt.Store(int64(never))
	t.outageAt.Store(int64(never))
	t.logAnsweredAt.Store(int64(never))
	return t
}

// Now returns the current time on the instance's monotonic clock.
func (t *Tracker) Now() MonoTime { return MonoTime(time.Since(t.start)) }

// RecordComplete records that the view holds every record appended before m. The
// caller must have applied those records.
func (t *Tracker) RecordComplete(m MonoTime) { storeMax(&t.completeAt, m) }

// RecordOutage records that the log was down for the whole fleet at m.
func (t *Tracker) RecordOutage(m MonoTime) { storeMax(&t.outageAt, m) }

// RecordLogAnswer records that the log has just answered a read of this instance.
// A late answer counts too: a slow log still accepts appends, so it is not down.
func (t *Tracker) RecordLogAnswer() { storeMax(&t.logAnsweredAt, t.Now()) }

// ViewAge returns an upper bound of the time since the view held every record.
func (t *Tracker) ViewAge() time.Duration { return t.age(&t.completeAt) }

// OutageAge returns the time since the log was last known to be down for the
// whole fleet.
func (t *Tracker) OutageAge() time.Duration { return t.age(&t.outageAt) }

// LogAge returns the time since the log last answered a read of this instance
// itself.
func (t *Tracker) LogAge() time.Duration { return t.age(&t.logAnsweredAt) }

// Age returns the age that MayWork checks: the time since the view was last
// complete or an outage was last confirmed, whichever is shorter.
func (t *Tracker) Age() time.Duration { return min(t.ViewAge(), t.OutageAge()) }

// MayWork reports whether the view is recent enough to act on.
func (t *Tracker) MayWork() bool { return t.Age() <= t.bound }

// MayDecide reports whether the instance may append decisions, that is, records of
// the control stream. A confirmed outage is not enough for that: if the log
// recovered and a decision were appended at once, instances that have just confirmed
// the outage would go on working without it.
func (t *Tracker) MayDecide() bool { return t.ViewAge() <= t.bound }

func (t *Tracker) age(at *atomic.Int64) time.Duration {
	return MonoTime(at.Load()).AgeAt(t.Now())
}

// storeMax stores m unless a later time is stored already. Delayed or reordered
// answers therefore change nothing (F18).
func storeMax(at *atomic.Int64, m MonoTime) {
	for {
		old := at.Load()
		if int64(m) <= old || at.CompareAndSwap(old, int64(m)) {
			return
		}
	}
}
