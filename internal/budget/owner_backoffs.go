package budget

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Bounds of the backoff after calls that an owner did not answer.
const (
	minOwnerBackoff = 250 * time.Millisecond
	maxOwnerBackoff = 4 * time.Second
)

// ownerBackoffs holds the owners that did not answer their last call, by
// incarnation.
type ownerBackoffs struct {
	mu     sync.Mutex
	owners map[string]*ownerBackoff
}

type ownerBackoff struct {
	until     time.Time
	intervals *backoff.ExponentialBackOff
}

// recordFailure starts or extends the backoff of an owner that did not answer.
// Failures during the backoff are ignored, so that calls that time out together
// count once.
func (b *ownerBackoffs) recordFailure(incarnation string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners == nil {
		b.owners = make(map[string]*ownerBackoff)
	}
	owner, ok := b.owners[incarnation]
	if !ok {
		owner = &ownerBackoff{intervals: &backoff.ExponentialBackOff{
			InitialInterval: minOwnerBackoff,
			Multiplier:      2,
			MaxInterval:     maxOwnerBackoff,
		}}
		b.owners[incarnation] = owner
	}
	if now.Before(owner.until) {
		return
	}
	owner.until = now.Add(owner.intervals.NextBackOff())
}

// recordSuccess ends the backoff of an owner that answered.
func (b *ownerBackoffs) recordSuccess(incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.owners, incarnation)
}

// state reports whether the owner did not answer its last call, and whether its
// backoff still runs.
func (b *ownerBackoffs) state(incarnation string, now time.Time) (failing, backingOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	owner, ok := b.owners[incarnation]
	return ok, ok && now.Before(owner.until)
}

// retain removes the owners that are no longer live.
func (b *ownerBackoffs) retain(live func(incarnation string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation := range b.owners {
		if !live(incarnation) {
			delete(b.owners, incarnation)
		}
	}
}
