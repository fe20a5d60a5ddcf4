package upstream

import "time"

// minLearnedEvents is the number of intervals between events from which their mean is
// taken in.
const minLearnedEvents = 8

// maxLearnedEvents is the number after which that happens before a stream ends.
const maxLearnedEvents = 32

// eventTimes are the intervals between the events of one attempt that are not learned from
// yet.
type eventTimes struct {
	last     time.Time
	count    int
	sum, max time.Duration
}

// EventsReceived records that n complete events arrived together. It returns the time since
// the ones before, or 0 if that is unknown.
func (t *Ticket) EventsReceived(n int, at time.Time) time.Duration {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	e := &t.events
	interval := time.Duration(0)
	if !e.last.IsZero() {
		interval = at.Sub(e.last)
		e.count += n
		e.sum += interval
		e.max = max(e.max, interval)
		t.state.speed.ObservePause(interval, at)
	}
	e.last = at
	if e.count >= maxLearnedEvents {
		t.learnEvents(at)
	}
	return interval
}

// EventsDelayed records that the caller took the last events slowly: the time to the next
// one does not tell when the upstream sent it.
func (t *Ticket) EventsDelayed() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.events.last = time.Time{}
}

// learnEvents takes in the mean interval without the longest, which a long prompt or a
// pause of the machine may have caused. The caller holds the lock.
func (t *Ticket) learnEvents(now time.Time) {
	e := &t.events
	if e.count >= minLearnedEvents {
		t.state.speed.ObserveEvents((e.sum-e.max)/time.Duration(e.count-1), t.state.loadSnapshot(now, t.pool.dataCentre).runningNow(), now)
	}
	e.count, e.sum, e.max = 0, 0, 0
}
