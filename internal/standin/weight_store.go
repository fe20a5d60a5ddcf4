package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// WeightStore is an in-process, rate-limited weight store without data.
type WeightStore struct {
	limiter     *rate.Limiter
	maxInFlight int
	fetchTime   time.Duration

	mu       sync.Mutex
	inFlight int
	fetched  int
}

var _ backing.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store in which a fetch takes fetchTime. It starts at most
// perSecond fetches a second and runs at most maxInFlight concurrently.
func NewWeightStore(perSecond float64, maxInFlight int, fetchTime time.Duration) *WeightStore {
	return &WeightStore{
		limiter:     rate.NewLimiter(rate.Limit(perSecond), maxInFlight),
		maxInFlight: maxInFlight,
		fetchTime:   fetchTime,
	}
}

// Fetch implements backing.WeightStore.
func (s *WeightStore) Fetch(ctx context.Context, _, _ string) error {
	if !s.begin() {
		return backing.ErrThrottled
	}
	defer s.end()
	select {
	case <-time.After(s.fetchTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Fetched returns the number of fetches started.
func (s *WeightStore) Fetched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetched
}

func (s *WeightStore) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.maxInFlight || !s.limiter.Allow() {
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
