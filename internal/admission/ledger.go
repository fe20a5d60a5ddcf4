package admission

import (
	"slices"
	"time"
)

const (
	// BookingTTL is how long after its time a booking is kept: a caller comes back on a new
	// connection to any instance.
	BookingTTL = time.Second
	// maxPromises bounds the promises of one team, about 64 bytes each.
	maxPromises = 4096
	// promiseMemory is how long after its time a promise is remembered, to tell who is refused
	// again.
	promiseMemory = 8 * time.Second
)

// Promise is the time that a refused request was told.
type Promise struct {
	Digest uint64
	// At is the time since the epoch at which the caller should come back.
	At time.Duration
	// Tokens are booked for it from At until BookingTTL after it; 0 if none are, or no longer.
	Tokens float64
}

// Ledger holds the promises to refused requests of one team. The zero value is empty.
type Ledger struct {
	promises []Promise
}

// Add adds a promise, in place of one for the same request. It reports whether there was room:
// a promise without a booking gives way to newer ones.
func (l *Ledger) Add(p Promise) bool {
	l.Remove(p.Digest)
	if len(l.promises) >= maxPromises {
		i := slices.IndexFunc(l.promises, func(p Promise) bool { return p.Tokens == 0 })
		if i < 0 {
			return false
		}
		l.promises = slices.Delete(l.promises, i, i+1)
	}
	l.promises = append(l.promises, p)
	return true
}

// Find returns the promise to a request, or nil. It is valid until the next change of l.
func (l *Ledger) Find(digest uint64) *Promise {
	if digest == 0 {
		return nil
	}
	for i := range l.promises {
		if l.promises[i].Digest == digest {
			return &l.promises[i]
		}
	}
	return nil
}

// Remove removes the promise to a request.
func (l *Ledger) Remove(digest uint64) {
	l.promises = slices.DeleteFunc(l.promises, func(p Promise) bool { return p.Digest == digest })
}

// Expire removes old promises, and returns the number of bookings that ended without use.
func (l *Ledger) Expire(now time.Duration) (unused int) {
	l.promises = slices.DeleteFunc(l.promises, func(p Promise) bool { return now > p.At+promiseMemory })
	for i := range l.promises {
		if p := &l.promises[i]; p.Tokens > 0 && now > p.At+BookingTTL {
			p.Tokens = 0
			unused++
		}
	}
	return unused
}

// Booked reports whether tokens are booked.
func (l *Ledger) Booked() bool {
	return slices.ContainsFunc(l.promises, func(p Promise) bool { return p.Tokens > 0 })
}

// Withhold removes what is booked from a schedule, except for one request.
func (l *Ledger) Withhold(s *Schedule, except uint64) {
	for _, p := range l.promises {
		if p.Tokens > 0 && (p.Digest != except || except == 0) {
			s.Withhold(p.At, p.Tokens)
		}
	}
}

// DropBeyond drops bookings, the latest first, until what remains fits into the schedule that
// newSchedule returns. It returns how many it has dropped. A lowered rate makes that necessary.
func (l *Ledger) DropBeyond(newSchedule func() *Schedule) (dropped int) {
	for {
		s := newSchedule()
		l.Withhold(s, 0)
		s.Sum()
		if s.lowest() >= 0 {
			return dropped
		}
		last := -1
		for i, p := range l.promises {
			if p.Tokens > 0 && (last < 0 || p.At >= l.promises[last].At) {
				last = i
			}
		}
		if last < 0 {
			return dropped
		}
		l.promises[last].Tokens = 0
		dropped++
	}
}
