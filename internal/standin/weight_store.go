package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// WeightStore is an in-process, rate-limited weight store without data.
type WeightStore struct {
	limiter  *rate.Limiter
	maxLoads int
	// transfer is the duration of one transfer.
	transfer time.Duration

	mu       sync.Mutex
	inFlight int
	fetched  int
}

var _ platform.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store that starts at most loadsPerS transfers a second
// and runs at most maxLoads concurrently. Each takes the duration transfer.
func NewWeightStore(loadsPerS float64, maxLoads int, transfer time.Duration) *WeightStore {
	return &WeightStore{
		limiter:  rate.NewLimiter(rate.Limit(loadsPerS), maxLoads),
		maxLoads: maxLoads,
		transfer: transfer,
	}
}

// Fetch implements platform.WeightStore.
func (s *WeightStore) Fetch(ctx context.Context, _, _ string) error {
	if !s.begin() {
		return platform.ErrThrottled
	}
	defer s.end()
	select {
	case <-time.After(s.transfer):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Fetched returns the number of transfers started.
func (s *WeightStore) Fetched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetched
}

func (s *WeightStore) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.maxLoads || !s.limiter.Allow() {
		return false
	}
	s.inFlight++
	s.fetched++
	return true
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
