package routing

import (
	"sync"
	"time"
)

const (
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts = 3
	// retryRatio is the number of retries earned by each request.
	retryRatio = 0.1
	// minRetriesPerS is the refill rate that lets an instance with few requests
	// retry.
	minRetriesPerS = 1.0
	// maxTokens is the size of the token bucket; each token is one retry.
	maxTokens = 20.0
)

// RetryBudget is a token bucket that limits the retries of one entry instance to
// 10% of its requests plus one per second, so that retries do not amplify an
// overload. It is safe for concurrent use. Package retrybudget, in contrast,
// limits the retries per service over all instances.
type RetryBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget with a full token bucket.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens, refilledAt: time.Now()}
}

// CountRequest adds the tokens earned by a new request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+retryRatio)
}

// Allow reports whether a request may be retried after the given number of
// attempts. If so, it takes a token for the retry.
func (b *RetryBudget) Allow(attempts int) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+minRetriesPerS*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if attempts >= MaxAttempts || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
