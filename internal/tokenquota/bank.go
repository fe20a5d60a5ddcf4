package tokenquota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Limiter has an instance's parts of all teams' allowances. It is safe for
// concurrent use.
type Limiter struct {
	self   string
	bounds Bounds
	lender HolderClient
	// start and before are what is known of earlier starts of this instance.
	start  StartKind
	before Checkpoint
	due    chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	version  int64
	entries  []string
}

// NewLimiter returns the bank of the instance called self, without teams, as if
// nothing had been spent before.
func NewLimiter(self string, b Bounds, lender HolderClient) *Limiter {
	return &Limiter{self: self, bounds: b, lender: lender, due: make(chan struct{}, 1), accounts: make(map[string]*account)}
}

// Resume tells what is known of earlier starts, before the first Configure.
func (b *Limiter) Resume(s StartKind, before Checkpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start, b.before = s, before
}

func (b *Limiter) window() time.Duration { return b.bounds.Window + windowMargin }

// Configure takes over the teams and the names of all entry instances.
func (b *Limiter) Configure(c *fleet.Config, entries []string) {
	if !slices.Contains(entries, b.self) {
		// Its own announcement may not have arrived.
		entries = append(slices.Clone(entries), b.self)
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Version == b.version && slices.Equal(entries, b.entries) {
		return
	}
	b.version, b.entries = c.Version, entries
	known := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Rate <= 0 {
			continue
		}
		known[t.Name] = true
		held := holders(t.Name, entries)
		share := 0.0
		if slices.Contains(held, b.self) {
			share = b.bounds.allowance(t.Rate, t.Burst) / float64(len(held))
		}
		a, ok := b.accounts[t.Name]
		if !ok {
			a = b.opening(t.Name, share, now)
			b.accounts[t.Name] = a
		} else if a.share == 0 && share > 0 {
			// The holder before may have spent it.
			a.assume(1, now)
		}
		a.share = share
		a.others = slices.DeleteFunc(held, func(name string) bool { return name == b.self })
	}
	for name := range b.accounts {
		if !known[name] {
			delete(b.accounts, name)
		}
	}
}

// Take spends tokens of a team. The loans of a refusal are to be given back with
// Unused.
func (b *Limiter) Take(ctx context.Context, team string, tokens float64) Decision {
	d := b.take(team, tokens)
	if d.Allowed || b.lender == nil {
		return d
	}
	// The life of a loan counts from before it was asked for.
	lapses := time.Now().Add(loanLife)
	lent := b.lender.Borrow(ctx, team, tokens-d.Free, d.others)
	loans, got := lent.Loans, 0.0
	for _, l := range loans {
		got += l.Tokens
	}
	if lent.Wait > 0 {
		d.Wait = min(d.Wait, lent.Wait)
	}
	d.Loans, d.NoHolderAnswered = loans, !lent.HolderAnswered && d.Share == 0
	if d.Free+got < tokens {
		return d
	}
	b.borrowed(team, got, lapses)
	after := b.take(team, tokens)
	if after.Allowed {
		after.Loans = loans
	}
	return after
}

func (b *Limiter) take(team string, tokens float64) Decision {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a, limited := b.accounts[team]
	if !limited {
		return Decision{Allowed: true}
	}
	a.trim(b.window(), now)
	d := Decision{Share: a.share, Free: a.free(b.window(), now) + a.loans(), others: a.others}
	if a.take(tokens, b.window(), now) {
		d.Allowed = true
		b.noteSpent(a, tokens, now)
		return d
	}
	d.Wait = a.wait(tokens, b.window(), now)
	return d
}

func (b *Limiter) borrowed(team string, tokens float64, lapses time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[team]; ok {
		a.borrowed = append(a.borrowed, entry{lapses, tokens})
	}
}

// Refund gives back the tokens of a request that has not run, to lenders first.
func (b *Limiter) Refund(ctx context.Context, team string, tokens float64, loans []Loan) error {
	var back []Loan
	for _, l := range loans {
		if l.Tokens = min(l.Tokens, tokens); l.Tokens > 0 {
			back = append(back, l)
			tokens -= l.Tokens
		}
	}
	b.Return(team, tokens)
	return b.giveBack(ctx, team, back)
}

// ReturnUnused gives the loans of a refusal back.
func (b *Limiter) ReturnUnused(ctx context.Context, team string, d Decision) error {
	return b.giveBack(ctx, team, d.Loans)
}

func (b *Limiter) giveBack(ctx context.Context, team string, loans []Loan) error {
	if len(loans) == 0 {
		return nil
	}
	return b.lender.Return(ctx, team, loans)
}

// Return takes back tokens that were spent or lent here.
func (b *Limiter) Return(team string, tokens float64) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.accounts[team]
	if !ok {
		return
	}
	a.trim(b.window(), now)
	for i := len(a.spent) - 1; i >= 0 && tokens > 0; i-- {
		back := min(tokens, a.spent[i].tokens)
		a.spent[i].tokens -= back
		a.spentSum -= back
		tokens -= back
	}
}

// Lend gives up to tokens of a team to another instance. If it has less, it
// tells when it expects to have them. An instance that holds no part of the
// allowance, or does not know yet that it does, is no holder.
func (b *Limiter) Lend(team string, tokens float64) (given float64, wait time.Duration, holder bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.accounts[team]
	if !ok || a.share == 0 {
		return 0, 0, false
	}
	a.trim(b.window(), now)
	given = max(0, min(tokens, a.free(b.window(), now)))
	if given > 0 {
		// The borrower may spend it until the loan's life ends.
		a.spend(given, now.Add(loanLife))
		b.noteSpent(a, given, now)
	}
	if given < tokens {
		return given, a.wait(tokens-given, b.window(), now), true
	}
	return given, 0, true
}
