package tokenquota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/witness"
)

// Limiter holds an instance's shares of the allowances of all teams. It is safe
// for concurrent use.
type Limiter struct {
	self    string
	bounds  Bounds
	holders HolderClient
	// startKind and lastCheckpoint are what is known of earlier starts of this
	// instance.
	startKind      StartKind
	lastCheckpoint Checkpoint
	checkpointDue  chan struct{}

	mu     sync.Mutex
	quotas map[string]*teamQuota
	// notWritten tells that the store has not taken the last checkpoint.
	notWritten bool
	// writeEnded is closed when a checkpoint has been written or not.
	writeEnded chan struct{}
	// lease is what the witnesses allow, and earlier what they told of earlier starts, nil if nothing.
	lease   witnessLease
	earlier *witnessedStart
	// pending are the records for the witnesses that are not confirmed, in order, and
	// witnessedSequence is the newest that is.
	pending           []pendingUsage
	witnessedSequence uint64
	usageDue          chan struct{}
	// notWitnessed tells that the witnesses do not answer, and usageEnded is closed when a record has
	// been confirmed or not.
	notWitnessed  bool
	usageEnded    chan struct{}
	configVersion int64
	instances     []string
	// allotment is a digest of what the shares follow from.
	allotment uint64
	// epoch is the origin of the times of schedules and bookings.
	epoch time.Time
	// ignoreReserve gives out tokens in the order of arrival, for the negative control of the
	// reserve.
	ignoreReserve bool
	bookings      bookingStats
}

// NewLimiter returns the limiter of the instance called self, without teams, as
// if nothing had been spent before.
func NewLimiter(self string, bounds Bounds, holders HolderClient) *Limiter {
	return &Limiter{
		self: self, bounds: bounds, holders: holders, quotas: make(map[string]*teamQuota),
		checkpointDue: make(chan struct{}, 1), writeEnded: make(chan struct{}),
		lease: witnessLease{clock: witness.BootTime}, usageDue: make(chan struct{}, 1), usageEnded: make(chan struct{}),
		epoch: time.Now(), bookings: newBookingStats(metrics.NewSet()),
	}
}

// Resume sets what is known of earlier starts. It must be called before the
// first Configure, or while Unread has been set there.
func (l *Limiter) Resume(s StartKind, last Checkpoint) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startKind, l.lastCheckpoint = s, last
	l.resumeUnread(now)
}

func (l *Limiter) window() time.Duration { return l.bounds.Window + windowMargin }

// Configure applies the configured teams and the names of all entry instances.
func (l *Limiter) Configure(c *fleet.Config, instances []string) {
	if !slices.Contains(instances, l.self) {
		// The announcement of this instance itself may not have arrived yet.
		instances = append(slices.Clone(instances), l.self)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Version == l.configVersion && slices.Equal(instances, l.instances) {
		return
	}
	l.configVersion, l.instances, l.allotment = c.Version, instances, l.bounds.digestAllotment(c.Teams, instances)
	limited := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Rate <= 0 {
			continue
		}
		limited[t.Name] = true
		teamHolders := holders(t.Name, instances)
		holderShare := l.bounds.allowance(t.Rate, t.Burst) / float64(len(teamHolders))
		share := 0.0
		if slices.Contains(teamHolders, l.self) {
			share = holderShare
		}
		q, ok := l.quotas[t.Name]
		if !ok {
			q = l.newTeamQuota(t, share, now)
			l.quotas[t.Name] = q
		} else if q.share == 0 && share > 0 {
			// This instance has become a holder. The one that it replaces may have
			// spent the share.
			q.assumeSpent(1, now)
			q.unread = false
		}
		lowered := share < q.share
		q.holderShare = holderShare
		q.share, q.rateFraction, q.step = share, l.bounds.rateFraction(t.Rate, t.Burst), l.bounds.stepFraction(t.Rate, t.Burst)
		q.otherHolders = slices.DeleteFunc(teamHolders, func(name string) bool { return name == l.self })
		if lowered {
			l.dropBookings(q, now)
		}
	}
	for name := range l.quotas {
		if !limited[name] {
			delete(l.quotas, name)
		}
	}
	if l.earlier != nil {
		// The witnesses may know of shares that this instance has learned of only now.
		l.resumeUnread(now)
	}
	l.signalUsage()
}

// Take is Admit for a request of which only the tokens are known.
func (l *Limiter) Take(ctx context.Context, team string, tokens float64) Decision {
	return l.Admit(ctx, team, NewRequest(admission.Ask{Tokens: tokens}))
}

// Admit spends tokens of a team, and borrows from other holders what is missing. It waits a short
// time for a checkpoint if the tokens are free and only lack a record in the store.
// If it refuses, the caller must return the loans in the decision with
// ReturnLoans.
func (l *Limiter) Admit(ctx context.Context, team string, r Request) Decision {
	d := l.takeRecorded(ctx, team, &r)
	if d.Allowed {
		return d
	}
	d.homes = l.homes(r.Ask, d)
	if d.Booked {
		return d
	}
	if l.holders != nil {
		d = l.borrow(ctx, team, r, d)
	}
	if !d.Allowed && !d.Booked && !d.NoHolderAnswered && (r.Longest > 0 || r.Returns > 0) {
		l.book(ctx, team, r.Ask, &d)
	}
	return d
}

// borrow borrows from other holders what the decision d did not find here.
func (l *Limiter) borrow(ctx context.Context, team string, r Request, d Decision) Decision {
	// The borrower counts loanTTL from before the call, the lender from when it
	// lends, so the loan expires here first.
	expires := time.Now().Add(loanTTL)
	r.Missing = r.Tokens - d.Free
	result := l.holders.Borrow(ctx, team, r, HolderList{All: d.otherHolders, First: d.homes})
	loans, borrowed := result.Loans, 0.0
	for _, loan := range loans {
		borrowed += loan.Tokens
	}
	if result.Booked {
		d.Booked, d.Wait = true, result.Wait
	} else if result.Wait > 0 {
		d.Wait = min(d.Wait, result.Wait)
	}
	if result.Promised.Known {
		d.Promised = result.Promised
	}
	d.Loans, d.NoHolderAnswered = loans, !result.HolderAnswered && d.Share == 0
	if borrowed < r.Missing || d.Booked {
		return d
	}
	l.addLoan(team, borrowed, expires)
	retried := l.takeFor(team, &r)
	retried.Promised = d.Promised
	if retried.Allowed {
		retried.Loans = loans
	}
	retried.homes = d.homes
	return retried
}

// takeRecorded is takeFor, but waits for the checkpoint that the tokens need.
func (l *Limiter) takeRecorded(ctx context.Context, team string, r *Request) Decision {
	d := l.takeFor(team, r)
	if d.Allowed || !d.Unrecorded {
		return d
	}
	timeout := time.NewTimer(recordWait)
	defer timeout.Stop()
	for d.Unrecorded && d.record.wait(ctx, timeout.C) {
		d = l.takeFor(team, r)
	}
	return d
}

func (l *Limiter) takeFor(team string, r *Request) Decision {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, limited := l.quotas[team]
	if !limited {
		return Decision{Allowed: true}
	}
	q.expire(l.window(), now)
	free, borrowed := q.free(l.window(), now), q.borrowedTokens()
	own := Request{Ask: r.Ask, Missing: r.Tokens - borrowed}
	early, wait, promised := l.promised(q, r.Digest, now)
	l.countDemand(q, r, promised, now)
	d := Decision{Share: q.share, holderShare: q.holderShare, otherHolders: q.otherHolders, Promised: promised}
	if early {
		l.bookings.early.Inc()
		d.Booked, d.Wait = true, wait
		return d
	}
	room := l.room(q, &own, promised.Kept, now)
	d.Free = min(free, room) + borrowed
	if d.Free >= r.Tokens && q.take(r.Tokens, l.window(), now) {
		d.Allowed = true
		l.useBooking(q, &own, own.Missing)
		l.countTowardCheckpoint(q, r.Tokens, now)
		return d
	}
	if room > free {
		d.Unrecorded, d.record = true, l.wantRecord(q, min(r.Tokens, room), now)
	}
	d.Wait = q.wait(r.Tokens, l.window(), now)
	return d
}

// wantRecord makes the records due that are missing for tokens to be spent: a checkpoint, a record
// for the witnesses or both. They count the tokens as spent before they are. It returns a waiter for
// one of them.
func (l *Limiter) wantRecord(q *teamQuota, tokens float64, now time.Time) recordWaiter {
	checkpoint := q.checkpointFree(l.window(), now) < tokens
	usage := q.witnessFree(l.window(), now) < tokens
	if usage {
		q.usageWanted = max(q.usageWanted, tokens)
		l.signalUsage()
	}
	if !checkpoint && usage {
		return recordWaiter{ended: l.usageEnded, none: l.notWitnessed || l.lease.held() && !l.lease.endsOnConfirm}
	}
	q.wanted = max(q.wanted, tokens)
	l.signalCheckpoint()
	return l.newRecordWaiter()
}

// RecordWanted reports whether somebody waits for a checkpoint.
func (l *Limiter) RecordWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.quotas {
		if q.wanted > 0 {
			return true
		}
	}
	return false
}

func (l *Limiter) addLoan(team string, tokens float64, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q, ok := l.quotas[team]; ok {
		q.borrowed = append(q.borrowed, timedTokens{at: expires, tokens: tokens})
	}
}

// Refund frees the tokens of a request that has not run. It returns the loans among
// them, which the caller must give back with ReturnLoans.
func (l *Limiter) Refund(team string, tokens float64, loans []Loan) []Loan {
	var borrowed []Loan
	for _, loan := range loans {
		if loan.Tokens = min(loan.Tokens, tokens); loan.Tokens > 0 {
			borrowed = append(borrowed, loan)
			tokens -= loan.Tokens
		}
	}
	l.Return(team, tokens)
	return borrowed
}

// ReturnLoans gives loans that were not spent back to their lenders.
func (l *Limiter) ReturnLoans(ctx context.Context, team string, loans []Loan) error {
	if len(loans) == 0 {
		return nil
	}
	return l.holders.Return(ctx, team, loans)
}

// Return frees tokens that count as spent here: those of a request that did not
// run, or of a loan that another instance gives back.
func (l *Limiter) Return(team string, tokens float64) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok {
		return
	}
	q.expire(l.window(), now)
	for i := len(q.spent) - 1; i >= 0 && tokens > 0; i-- {
		back := min(tokens, q.spent[i].tokens)
		q.spent[i].tokens -= back
		q.spentSum -= back
		tokens -= back
	}
}

// lendWait is how long a lender waits for the checkpoint that a loan needs. It is shorter than the
// time that a borrower has for the call.
const lendWait = 40 * time.Millisecond

// Lend is LendTo for a request of which only the tokens are known.
func (l *Limiter) Lend(ctx context.Context, team string, tokens float64) (lent float64, wait time.Duration, holder bool) {
	result := l.LendTo(ctx, team, NewRequest(admission.Ask{Tokens: tokens}))
	return result.Tokens, result.Wait, result.Holder
}

// LendTo lends tokens of a team to a request at another instance, at most those that it misses.
func (l *Limiter) LendTo(ctx context.Context, team string, r Request) LendResult {
	result, record := l.lendFor(team, &r)
	if record == nil {
		return result
	}
	timeout := time.NewTimer(lendWait)
	defer timeout.Stop()
	lent := result.Tokens
	for record != nil && record.wait(ctx, timeout.C) {
		r.Missing -= result.Tokens
		result, record = l.lendFor(team, &r)
		lent += result.Tokens
	}
	result.Tokens = lent
	return result
}

// lendFor is LendTo without a wait. The waiter is set if the rest is free, but lacks a record in the
// store.
func (l *Limiter) lendFor(team string, r *Request) (LendResult, *recordWaiter) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok || q.share == 0 {
		return LendResult{}, nil
	}
	q.expire(l.window(), now)
	early, wait, promised := l.promised(q, r.Digest, now)
	l.countDemand(q, r, promised, now)
	if early {
		l.bookings.early.Inc()
		return LendResult{Holder: true, Booked: true, Wait: wait, Promised: promised}, nil
	}
	if promised.Kept {
		// What it found free elsewhere may be gone when the answer arrives.
		r.Missing = q.contention.ledger.Find(r.Digest).Tokens - bookingMargin
	}
	room := l.room(q, r, promised.Kept, now)
	lent := max(0, min(r.Missing, room, q.free(l.window(), now)))
	if lent > 0 {
		// The borrower may spend the tokens as late as at the end of the loan.
		q.spend(lent, now.Add(loanTTL))
		l.countTowardCheckpoint(q, lent, now)
		l.useBooking(q, r, lent)
	}
	rest := r.Missing - lent
	if rest <= 0 {
		return LendResult{Holder: true, Tokens: lent, Promised: promised}, nil
	}
	var record *recordWaiter
	if left := room - lent; left > 0 {
		waiter := l.wantRecord(q, min(rest, left), now)
		record = &waiter
	}
	return LendResult{Holder: true, Tokens: lent, Wait: q.wait(rest, l.window(), now), Promised: promised}, record
}
