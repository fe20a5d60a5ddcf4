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

// Bank has an instance's parts of all teams' quotas. It is safe for concurrent use.
type Bank struct {
	bounds Bounds
	lender Lender
	// full tells that no earlier start of an instance can have spent the burst.
	full bool

	mu      sync.Mutex
	buckets map[string]*bucket
	version int64
	entries int
}

// NewBank returns a bank without teams. Where full is not set, balances begin
// empty, since an earlier start of this instance may have spent them.
func NewBank(b Bounds, lender Lender, full bool) *Bank {
	return &Bank{bounds: b, lender: lender, full: full, buckets: make(map[string]*bucket)}
}

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
	n := float64(entries)
	for _, t := range c.Teams {
		if t.Rate <= 0 {
			continue
		}
		known[t.Name] = true
		slack := b.bounds.Slack
		capacity := (t.Burst + burstUse*slack) / n
		bk, ok := b.buckets[t.Name]
		if !ok {
			bk = &bucket{at: now}
			if b.full {
				bk.balance = capacity
			}
			b.buckets[t.Name] = bk
		}
		bk.set(t.Rate*(1+rateUse*b.bounds.Over)/n, capacity, debtUse*slack/n, now)
	}
	for name := range b.buckets {
		if !known[name] {
			delete(b.buckets, name)
		}
	}
}

// Take spends tokens of a team. If they are not there it returns false and
// when they may be.
func (b *Bank) Take(ctx context.Context, team string, tokens float64) (bool, time.Duration) {
	ok, missing, wait := b.take(team, tokens)
	if ok || b.lender == nil {
		return ok, wait
	}
	got := b.lender.Borrow(ctx, team, missing)
	if got <= 0 {
		return false, wait
	}
	b.Add(team, got)
	ok, _, wait = b.take(team, tokens)
	return ok, wait
}

func (b *Bank) take(team string, tokens float64) (ok bool, missing float64, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bk, limited := b.buckets[team]
	if !limited || bk.take(tokens, time.Now()) {
		return true, 0, 0
	}
	// Some more than needed saves a call for the next request.
	return false, tokens - bk.balance + bk.rate/2, bk.wait(tokens)
}

// Add gives tokens back, or adds borrowed ones.
func (b *Bank) Add(team string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bk, ok := b.buckets[team]; ok {
		bk.balance += tokens
	}
}

// Lend gives up to tokens of a team to another instance.
func (b *Bank) Lend(team string, tokens float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	bk, ok := b.buckets[team]
	if !ok || tokens <= 0 {
		return 0
	}
	bk.refill(time.Now())
	given := min(tokens, bk.spare())
	bk.balance -= given
	return given
}
