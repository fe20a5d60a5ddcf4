package routing

import (
	"sync"
	"time"
)

const (
	// MaxAttempts is the most attempts of one request.
	MaxAttempts = 3
	// retryPart is the part of requests that may be retried.
	retryPart = 0.1
	// retriesPerS is the constant that lets an instance with few requests retry.
	retriesPerS = 1.0
	// retryBurst bounds what is saved up, in retries.
	retryBurst = 20.0
)

// RetryBudget bounds the retries of one entry instance to 10% of its requests
// plus one a second, so that retries do not multiply an overload. It is safe
// for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	level float64
	last  time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{level: retryBurst, last: time.Now()}
}

// CountRequest counts a new request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(retryBurst, b.level+retryPart)
}

// Allow reports whether a request may be sent again after the given number of
// attempts, and counts the retry if so.
func (b *RetryBudget) Allow(attempts int) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(retryBurst, b.level+retriesPerS*now.Sub(b.last).Seconds())
	b.last = now
	if attempts >= MaxAttempts || b.level < 1 {
		return false
	}
	b.level--
	return true
}
