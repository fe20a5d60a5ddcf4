package tokenquota

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/rendezvous"
)

const (
	// pieceShare is the largest part of a holder's share that one booking takes. A request that
	// is larger is booked in pieces at several holders, at most maxPieces.
	pieceShare = 0.5
	maxPieces  = 4
	// spareHomes is how many more holders may keep a piece, if one does not answer or has too
	// little in time. A returning request asks six holders at most, which is all homes.
	spareHomes = 2
	// pieceSkew covers the delay of the calls that move pieces to one time.
	pieceSkew = admission.Step
)

// bookingMargin is booked beside the tokens of a request, in tokens, so that rounding in the sums
// of a share does not leave it short.
const bookingMargin = 0.001

// pieces returns in how many pieces the tokens of a request are booked; 0 means that it is too
// large to be booked.
func (d *Decision) pieces(tokens float64) int {
	holders := len(d.otherHolders)
	if d.Share > 0 {
		holders++
	}
	most := float64(min(maxPieces, holders))
	n := max(1, min(most, math.Ceil(tokens/(pieceShare*d.holderShare))))
	if tokens/n > d.holderShare {
		return 0
	}
	return int(n)
}

// homes returns the holders that keep the booking of a request, the first in rank first. All
// instances that know the same holders compute the same.
func (l *Limiter) homes(a admission.Ask, d Decision) []string {
	n := d.pieces(a.Tokens)
	if a.Digest == 0 || n == 0 {
		return nil
	}
	all := d.otherHolders
	if d.Share > 0 {
		all = append(slices.Clone(all), l.self)
	}
	return rendezvous.First(strconv.FormatUint(a.Digest, 16), all, n+spareHomes)
}

// book asks the homes of a refused request to book its tokens, and gives the loans that they made
// for it back to them.
func (l *Limiter) book(ctx context.Context, team string, a admission.Ask, d *Decision) {
	n := d.pieces(a.Tokens)
	var booked []pieceTime
	var last, shortest time.Duration
	for _, home := range d.homes {
		if len(booked) == n {
			break
		}
		result, err := l.bookAt(ctx, team, BookRequest{Ask: a, Piece: a.Tokens / float64(n)}, home, d)
		if err != nil || !result.Holder {
			continue
		}
		if !d.Promised.Known {
			d.Promised = result.Promised
		}
		if result.Booked {
			booked = append(booked, pieceTime{home: home, at: time.Now().Add(result.Wait)})
			last = max(last, result.Wait)
		} else if shortest == 0 || result.Wait < shortest {
			shortest = result.Wait
		}
	}
	d.Booked = len(booked) == n
	switch {
	case d.Booked:
		d.Wait = last
	case shortest > 0:
		d.Wait = shortest
	}
	if n > 1 {
		l.joinPieces(ctx, team, a, booked, d)
	}
}

// pieceTime is when a piece of a request is booked at a holder.
type pieceTime struct {
	home string
	at   time.Time
}

// joinPieces moves the pieces of a request to the time of the last, or cancels them if one is
// missing.
func (l *Limiter) joinPieces(ctx context.Context, team string, a admission.Ask, pieces []pieceTime, d *Decision) {
	var last time.Time
	for _, p := range pieces {
		if p.at.After(last) {
			last = p.at
		}
	}
	complete := d.Booked
	if !complete {
		a.Longest, a.Returns = 0, 0
	}
	for _, p := range pieces {
		if complete && !p.at.Before(last) {
			continue
		}
		if _, err := l.bookAt(ctx, team, BookRequest{Ask: a, NotBefore: time.Until(last)}, p.home, d); err != nil {
			d.Booked = false
		}
	}
	if complete {
		d.Wait = max(0, time.Until(last)) + pieceSkew
	}
}

// bookAt calls Book of a holder.
func (l *Limiter) bookAt(ctx context.Context, team string, r BookRequest, home string, d *Decision) (BookResult, error) {
	rest := d.Loans[:0:0]
	for _, loan := range d.Loans {
		if loan.From == home {
			r.Returned += loan.Tokens
			continue
		}
		rest = append(rest, loan)
	}
	// A lost answer must not make the loans count as returned twice.
	d.Loans = rest
	if home == l.self {
		return l.Book(team, r), nil
	}
	return l.holders.Book(ctx, team, r, home)
}

// Book books tokens of a request from the first time on at which they are expected to be free,
// if that is soon enough for its caller. Loans that were made to it here are returned first. A
// booking whose tokens are of no use any more, with Longest and Returns 0, is cancelled.
func (l *Limiter) Book(team string, r BookRequest) BookResult {
	l.Return(team, r.Returned)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok || q.share == 0 {
		return BookResult{}
	}
	q.expire(l.window(), now)
	early, wait, promised := l.promised(q, r.Digest, now)
	if r.Longest <= 0 && r.Returns <= 0 {
		if promised.Kept {
			q.contention.ledger.Remove(r.Digest)
			l.bookings.cancelled.Inc()
		}
		return BookResult{Holder: true, Promised: promised}
	}
	if promised.Kept && r.NotBefore > 0 {
		p := q.contention.ledger.Find(r.Digest)
		p.At = max(p.At, l.sinceEpoch(now)+r.NotBefore)
		return BookResult{Holder: true, Booked: true, Wait: p.At - l.sinceEpoch(now), Promised: promised}
	}
	if early {
		return BookResult{Holder: true, Booked: true, Wait: wait, Promised: promised}
	}
	if promised.Known {
		// Callers come back once: it would not use a booking for a further return.
		r.Returns = 0
	}
	result := l.bookPiece(q, r, now)
	result.Promised = promised
	return result
}

// bookPiece books tokens in place of an earlier promise to the same request.
func (l *Limiter) bookPiece(q *teamQuota, r BookRequest, now time.Time) BookResult {
	q.contention.ledger.Remove(r.Digest)
	s := l.schedule(q, now)
	if l.notWritten {
		// What is recorded of the spending gets less until the store is back.
		s.Lower((1 - q.unrecorded(q.listed)) * q.share)
	}
	q.contention.ledger.Withhold(s, 0)
	s.Sum()
	at, found := l.bookingTime(q, r, s, now)
	result := BookResult{Holder: true, Booked: found, Wait: max(admission.Step, at-l.sinceEpoch(now))}
	promise := admission.Promise{Digest: r.Digest, At: at}
	if found {
		promise.Tokens = r.Piece + bookingMargin
	} else {
		// Nothing is kept for its return. Who came back sooner would be refused again.
		result.Wait = max(result.Wait, l.window())
	}
	if r.Digest == 0 || !q.contention.ledger.Add(promise) {
		result.Booked = false
	}
	if result.Booked {
		l.bookings.made.Inc()
	} else {
		l.bookings.none.Inc()
		q.contention.refusals.Add(r.Ask, l.sinceEpoch(now))
	}
	return result
}

// bookingTime returns from when on the tokens of a request are free in the schedule s, and whether they are
// booked then. They are if they serve it within its objective, or if its caller comes back for them and they are
// free beside all requests that they would serve within their objective.
func (l *Limiter) bookingTime(q *teamQuota, r BookRequest, s *admission.Schedule, now time.Time) (at time.Duration, book bool) {
	rate := l.reserveRate(q, r.Ask, true, now)
	if l.refusedBefore(q, r.Ask, now) == 0 {
		at, found := s.Earliest(r.Piece+bookingMargin, rate)
		if found && at-l.sinceEpoch(now) <= r.Longest {
			return at, true
		}
	}
	rate = max(rate, q.contention.demand.FreshRate(r.Ask, l.sinceEpoch(now), l.window()))
	at, found := s.Earliest(r.Piece+bookingMargin, rate)
	return at, found && at-l.sinceEpoch(now) <= r.Returns
}

// CancelBooking cancels the booking of a request whose caller has left.
func (l *Limiter) CancelBooking(ctx context.Context, team string, a admission.Ask, d Decision) {
	a.Longest, a.Returns = 0, 0
	d.Loans = nil
	for _, home := range d.homes {
		// A booking that is not cancelled ends after its time.
		_, _ = l.bookAt(ctx, team, BookRequest{Ask: a}, home, &d)
	}
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
