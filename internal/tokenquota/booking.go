package tokenquota

import (
	"context"
	"strconv"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

// maxHomes is how many holders are asked to book a request's tokens: the one that all instances
// find first, and one more if that one does not answer.
const maxHomes = 2

// bookingMargin is booked beside the tokens of a request, in tokens, so that rounding in the sums
// of a share does not leave it short.
const bookingMargin = 0.001

// homes returns the holders that keep the booking of a request, the first in rank first. All
// instances that know the same holders compute the same.
func (l *Limiter) homes(digest uint64, d Decision) []string {
	if digest == 0 {
		return nil
	}
	key := strconv.FormatUint(digest, 16)
	var names [maxHomes]string
	var ranks [maxHomes]uint64
	consider := func(name string) {
		rank := rendezvous.Rank(key, name)
		for i := range names {
			if names[i] == "" || rank < ranks[i] {
				names[i], name, ranks[i], rank = name, names[i], rank, ranks[i]
			}
			if name == "" {
				return
			}
		}
	}
	for _, name := range d.otherHolders {
		consider(name)
	}
	if d.Share > 0 {
		consider(l.self)
	}
	var out []string
	for _, name := range names {
		if name != "" {
			out = append(out, name)
		}
	}
	return out
}

// book asks the homes of a refused request to book its tokens, and gives the loans that they made
// for it back to them.
func (l *Limiter) book(ctx context.Context, team string, a admission.Ask, d *Decision) {
	for _, home := range d.homes {
		returned := 0.0
		rest := d.Loans[:0:0]
		for _, loan := range d.Loans {
			if loan.From == home {
				returned += loan.Tokens
				continue
			}
			rest = append(rest, loan)
		}
		// A lost answer must not make the loans count as returned twice.
		d.Loans = rest
		var result BookResult
		if home == l.self {
			result = l.Book(team, a, returned)
		} else {
			var err error
			if result, err = l.holders.Book(ctx, team, a, returned, home); err != nil {
				continue
			}
		}
		if !result.Holder {
			continue
		}
		d.Booked, d.Wait = result.Booked, result.Wait
		if !d.Promised.Known {
			d.Promised = result.Promised
		}
		return
	}
}

// Book books the tokens of a request from the first time on at which they are expected to be free,
// if that is soon enough for its caller. Loans that were made to it here are returned first. A
// booking whose tokens are of no use any more, with Longest 0, is cancelled.
func (l *Limiter) Book(team string, a admission.Ask, returned float64) BookResult {
	l.Return(team, returned)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok || q.share == 0 {
		return BookResult{}
	}
	q.expire(l.window(), now)
	early, wait, promised := l.promised(q, a.Digest, now)
	if a.Longest <= 0 {
		if promised.Kept {
			q.contention.ledger.Remove(a.Digest)
			l.bookings.cancelled.Inc()
		}
		return BookResult{Holder: true, Promised: promised}
	}
	if early {
		return BookResult{Holder: true, Booked: true, Wait: wait, Promised: promised}
	}
	result := BookResult{Holder: true, Promised: promised}
	q.contention.ledger.Remove(a.Digest)
	s := l.schedule(q, now)
	if l.notWritten {
		// What is recorded of the spending gets less until the store is back.
		s.Lower((1 - q.unrecorded(q.listed)) * q.share)
	}
	q.contention.ledger.Withhold(s, 0)
	s.Sum()
	at, found := s.Earliest(a.Tokens+bookingMargin, l.reserveRate(q, a, true, now))
	result.Wait = max(admission.Step, at-l.sinceEpoch(now))
	promise := admission.Promise{Digest: a.Digest, At: at}
	if found && result.Wait <= a.Longest {
		promise.Tokens, result.Booked = a.Tokens+bookingMargin, true
	}
	if a.Digest == 0 || !q.contention.ledger.Add(promise) {
		result.Booked = false
	}
	if result.Booked {
		l.bookings.made.Inc()
	} else {
		l.bookings.none.Inc()
	}
	return result
}

// CancelBooking cancels the booking of a request whose caller has left.
func (l *Limiter) CancelBooking(ctx context.Context, team string, a admission.Ask, d Decision) {
	a.Longest = 0
	d.Loans = nil
	l.book(ctx, team, a, &d)
}

// promised returns what is known of an earlier refusal of a request. early tells that its booking
// is not due for another wait.
func (l *Limiter) promised(q *teamQuota, digest uint64, now time.Time) (early bool, wait time.Duration, promised Promised) {
	for range q.contention.ledger.Expire(l.sinceEpoch(now)) {
		l.bookings.unused.Inc()
	}
	p := q.contention.ledger.Find(digest)
	if p == nil {
		return false, 0, Promised{}
	}
	late := l.sinceEpoch(now) - p.At
	return p.Tokens > 0 && late < 0, -late, Promised{Known: true, Late: late, Kept: p.Tokens > 0}
}

// useBooking takes lent tokens from the booking of a request; the rest stays booked if the request
// still misses some.
func (l *Limiter) useBooking(q *teamQuota, r *Request, lent float64) {
	p := q.contention.ledger.Find(r.Digest)
	if p == nil || p.Tokens == 0 {
		return
	}
	p.Tokens = max(bookingMargin, p.Tokens-lent)
	if lent >= r.Missing {
		p.Tokens = 0
		l.bookings.used.Inc()
	}
}

// dropBookings drops the bookings that a lowered share no longer covers.
func (l *Limiter) dropBookings(q *teamQuota, now time.Time) {
	if !q.contention.ledger.Booked() {
		return
	}
	q.expire(l.window(), now)
	for range q.contention.ledger.DropBeyond(func() *admission.Schedule { return l.schedule(q, now) }) {
		l.bookings.dropped.Inc()
	}
}
