package tokenquota

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Lender asks other instances for tokens.
type Lender interface {
	// Borrow returns the tokens that other instances gave up, 0 if none did.
	Borrow(ctx context.Context, team string, tokens float64) float64
}

// Bank has an instance's parts of all teams' allowances. It is safe for
// concurrent use.
type Bank struct {
	bounds Bounds
	lender Lender
	// start and before are what is known of earlier starts of this instance.
	start  Start
	before Checkpoint
	due    chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	version  int64
	entries  int
}

// NewBank returns a bank without teams, as if nothing had been spent before.
func NewBank(b Bounds, lender Lender) *Bank {
	return &Bank{bounds: b, lender: lender, due: make(chan struct{}, 1), accounts: make(map[string]*account)}
}

// Resume tells what is known of earlier starts, before the first Configure.
func (b *Bank) Resume(s Start, before Checkpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start, b.before = s, before
}

func (b *Bank) window() time.Duration { return b.bounds.Window + windowMargin }

// Configure takes over the teams and the number of entry instances.
func (b *Bank) Configure(c *fleet.Config, entries int) {
	entries = max(1, entries)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Version == b.version && entries == b.entries {
		return
	}
	b.version, b.entries = c.Version, entries
	known := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		if t.Rate <= 0 {
			continue
		}
		known[t.Name] = true
		share := b.bounds.allowance(t.Rate, t.Burst) / float64(entries)
		a, ok := b.accounts[t.Name]
		if !ok {
			a = b.opening(t.Name, share, now)
			b.accounts[t.Name] = a
		}
		a.share = share
	}
	for name := range b.accounts {
		if !known[name] {
			delete(b.accounts, name)
		}
	}
}

// Take spends tokens of a team.
func (b *Bank) Take(ctx context.Context, team string, tokens float64) Decision {
	d := b.take(team, tokens)
	if d.Allowed || b.lender == nil {
		return d
	}
	// The life of a loan counts from before it was asked for.
	lapses := time.Now().Add(loanLife)
	got := b.lender.Borrow(ctx, team, tokens-d.Free)
	if got <= 0 {
		return d
	}
	b.borrowed(team, got, lapses)
	d = b.take(team, tokens)
	d.Borrowed = got
	return d
}

func (b *Bank) take(team string, tokens float64) Decision {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a, limited := b.accounts[team]
	if !limited {
		return Decision{Allowed: true}
	}
	a.trim(b.window(), now)
	d := Decision{Share: a.share, Free: a.free(b.window(), now) + a.loans()}
	if a.take(tokens, b.window(), now) {
		d.Allowed = true
		b.noteSpent(a, tokens, now)
		return d
	}
	d.Wait = a.wait(tokens, b.window(), now)
	return d
}

func (b *Bank) borrowed(team string, tokens float64, lapses time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[team]; ok {
		a.borrowed = append(a.borrowed, entry{lapses, tokens})
	}
}

// Refund gives back the tokens of a request that has not run.
func (b *Bank) Refund(team string, tokens float64) {
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

// Lend gives up to tokens of a team to another instance.
func (b *Bank) Lend(team string, tokens float64) float64 {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.accounts[team]
	if !ok || tokens <= 0 {
		return 0
	}
	a.trim(b.window(), now)
	given := min(tokens, a.free(b.window(), now))
	if given > 0 {
		// The borrower may spend it until the loan's life ends.
		a.spend(given, now.Add(loanLife))
		b.noteSpent(a, given, now)
	}
	return given
}
