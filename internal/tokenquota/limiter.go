package tokenquota

import (
	"context"
	"slices"
	"sync"
	"time"

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
}

// NewLimiter returns the limiter of the instance called self, without teams, as
// if nothing had been spent before.
func NewLimiter(self string, bounds Bounds, holders HolderClient) *Limiter {
	return &Limiter{
		self: self, bounds: bounds, holders: holders, quotas: make(map[string]*teamQuota),
		checkpointDue: make(chan struct{}, 1), writeEnded: make(chan struct{}),
		lease: witnessLease{clock: witness.BootTime}, usageDue: make(chan struct{}, 1), usageEnded: make(chan struct{}),
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
		share := 0.0
		if slices.Contains(teamHolders, l.self) {
			share = l.bounds.allowance(t.Rate, t.Burst) / float64(len(teamHolders))
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
		q.share, q.rateFraction, q.step = share, l.bounds.rateFraction(t.Rate, t.Burst), l.bounds.stepFraction(t.Rate, t.Burst)
		q.otherHolders = slices.DeleteFunc(teamHolders, func(name string) bool { return name == l.self })
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

// Take spends tokens of a team, and borrows from other holders what is missing. It waits a short
// time for a checkpoint if the tokens are free and only lack a record in the store.
// If it refuses, the caller must return the loans in the decision with
// ReturnLoans.
func (l *Limiter) Take(ctx context.Context, team string, tokens float64) Decision {
	d := l.takeRecorded(ctx, team, tokens)
	if d.Allowed || l.holders == nil {
		return d
	}
	// The borrower counts loanTTL from before the call, the lender from when it
	// lends, so the loan expires here first.
	expires := time.Now().Add(loanTTL)
	result := l.holders.Borrow(ctx, team, tokens-d.Free, d.otherHolders)
	loans, borrowed := result.Loans, 0.0
	for _, loan := range loans {
		borrowed += loan.Tokens
	}
	if result.Wait > 0 {
		d.Wait = min(d.Wait, result.Wait)
	}
	d.Loans, d.NoHolderAnswered = loans, !result.HolderAnswered && d.Share == 0
	if d.Free+borrowed < tokens {
		return d
	}
	l.addLoan(team, borrowed, expires)
	retried := l.take(team, tokens)
	if retried.Allowed {
		retried.Loans = loans
	}
	return retried
}

// takeRecorded is take, but waits for the checkpoint that the tokens need.
func (l *Limiter) takeRecorded(ctx context.Context, team string, tokens float64) Decision {
	d := l.take(team, tokens)
	if d.Allowed || !d.Unrecorded {
		return d
	}
	timeout := time.NewTimer(recordWait)
	defer timeout.Stop()
	for d.Unrecorded && d.record.wait(ctx, timeout.C) {
		d = l.take(team, tokens)
	}
	return d
}

func (l *Limiter) take(team string, tokens float64) Decision {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, limited := l.quotas[team]
	if !limited {
		return Decision{Allowed: true}
	}
	q.expire(l.window(), now)
	d := Decision{Share: q.share, Free: q.free(l.window(), now) + q.borrowedTokens(), otherHolders: q.otherHolders}
	if q.take(tokens, l.window(), now) {
		d.Allowed = true
		l.countTowardCheckpoint(q, tokens, now)
		return d
	}
	if unspent := q.unspent(l.window(), now); unspent > q.free(l.window(), now) {
		d.Unrecorded, d.record = true, l.wantRecord(q, min(tokens, unspent), now)
	}
	d.Wait = q.wait(tokens, l.window(), now)
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

// Lend lends up to tokens of a team to another instance. If it lends less, wait is
// the estimated time until it has the rest. holder is false if this instance holds
// no share of the allowance, or does not know yet that it does.
func (l *Limiter) Lend(ctx context.Context, team string, tokens float64) (lent float64, wait time.Duration, holder bool) {
	lent, wait, holder, record := l.lend(team, tokens)
	if record == nil {
		return lent, wait, holder
	}
	timeout := time.NewTimer(lendWait)
	defer timeout.Stop()
	for record != nil && record.wait(ctx, timeout.C) {
		more := 0.0
		more, wait, holder, record = l.lend(team, tokens-lent)
		lent += more
	}
	return lent, wait, holder
}

// lend is Lend without a wait. record is set if the rest is free, but lacks a record in the store.
func (l *Limiter) lend(team string, tokens float64) (lent float64, wait time.Duration, holder bool, record *recordWaiter) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.quotas[team]
	if !ok || q.share == 0 {
		return 0, 0, false, nil
	}
	q.expire(l.window(), now)
	lent = max(0, min(tokens, q.free(l.window(), now)))
	if lent > 0 {
		// The borrower may spend the tokens as late as at the end of the loan.
		q.spend(lent, now.Add(loanTTL))
		l.countTowardCheckpoint(q, lent, now)
	}
	rest := tokens - lent
	if rest <= 0 {
		return lent, 0, true, nil
	}
	if unspent := q.unspent(l.window(), now); unspent > 0 {
		waiter := l.wantRecord(q, min(rest, unspent), now)
		record = &waiter
	}
	return lent, q.wait(rest, l.window(), now), true, record
}
