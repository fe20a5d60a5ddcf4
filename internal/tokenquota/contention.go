package tokenquota

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
)

// contention is what a holder knows of the demand for its share, and to whom it has promised
// parts of it.
type contention struct {
	demand   admission.Demand
	ledger   admission.Ledger
	refusals admission.Refusals
}

// sinceEpoch returns the time on the grid of schedules.
func (l *Limiter) sinceEpoch(t time.Time) time.Duration { return t.Sub(l.epoch) }

// countDemand counts a request once, at the first holder that it asks, and not again when its
// caller comes back.
func (l *Limiter) countDemand(q *teamQuota, r *Request, p Promised, now time.Time) {
	if r.Counted || q.share == 0 {
		return
	}
	r.Counted = true
	if p.Known {
		return
	}
	q.contention.demand.Add(r.Ask, l.sinceEpoch(now), l.window())
}

// room returns how much of the share a request may have now: what leaves enough for the
// bookings and for the requests that come before it. due tells that its own booking is due.
func (l *Limiter) room(q *teamQuota, r *Request, due bool, now time.Time) float64 {
	unspent := q.unspent(l.window(), now)
	if q.share == 0 {
		return unspent
	}
	except, rate, before := uint64(0), 0.0, 0.0
	if due {
		except = r.Digest
	} else {
		rate = l.reserveRate(q, r.Ask, false, now)
		if r.MayYield() {
			before = l.refusedBefore(q, r.Ask, now)
		}
	}
	if before == 0 && !q.contention.ledger.Booked() && unspent-r.Missing >= admission.Reserve(rate, l.window()+loanTTL) {
		return unspent
	}
	s := l.schedule(q, now)
	q.contention.ledger.Withhold(s, except)
	s.Sum()
	return max(0, s.Room(rate)-before)
}

// refusedBefore returns the tokens of more urgent requests that were refused lately, which a request leaves
// free for the next of them.
func (l *Limiter) refusedBefore(q *teamQuota, a admission.Ask, now time.Time) float64 {
	if l.ignoreReserve {
		return 0
	}
	return q.contention.refusals.Before(a, l.sinceEpoch(now))
}

// schedule returns what will be left of the share, before bookings.
func (l *Limiter) schedule(q *teamQuota, now time.Time) *admission.Schedule {
	s := admission.NewSchedule(l.sinceEpoch(now), l.window()+loanTTL, q.share-q.assumedSpent(l.window(), now)-q.spentSum)
	for _, t := range q.spent {
		s.Release(l.sinceEpoch(t.at)+l.window(), t.tokens)
	}
	if assumed := q.assumedSpent(l.window(), now); assumed > 0 {
		s.Release(l.sinceEpoch(q.assumedAt)+l.window(), assumed)
	}
	return s
}

// reserveRate returns what a request must leave for others. A request of nearly the whole allowance
// leaves no more than it can.
func (l *Limiter) reserveRate(q *teamQuota, a admission.Ask, ahead bool, now time.Time) float64 {
	if l.ignoreReserve {
		return 0
	}
	most := max(0, q.share-a.Tokens/float64(len(q.otherHolders)+1))
	return q.contention.demand.ReserveRate(a, q.share, most, ahead, l.sinceEpoch(now), l.window())
}
