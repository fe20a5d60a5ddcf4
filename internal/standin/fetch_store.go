package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// WeightStoreFaults switches the faults of a FetchStore.
type WeightStoreFaults struct {
	// Refuse throttles every fetch.
	Refuse bool
	// ExtraDelay is added to the time of each fetch.
	ExtraDelay time.Duration
}

// FaultyWeightStore is an in-memory weight store. A fetch takes a fixed time; one that
// exceeds the concurrency or rate limit is refused. It is safe for concurrent use.
type FaultyWeightStore struct {
	each   time.Duration
	atOnce int
	rate   *rate.Limiter

	mu      sync.Mutex
	faults  WeightStoreFaults
	running int
	peak    int
	fetches int
	refused int
}

var _ platform.WeightStore = (*FaultyWeightStore)(nil)

// NewFaultyWeightStore returns a store in which a fetch takes `each`, with at most
// atOnce fetches at once and perSecond starts a second.
func NewFaultyWeightStore(each time.Duration, atOnce int, perSecond float64) *FaultyWeightStore {
	return &FaultyWeightStore{each: each, atOnce: atOnce, rate: rate.NewLimiter(rate.Limit(perSecond), max(1, atOnce))}
}

// SetFaults replaces the fault switches.
func (s *FaultyWeightStore) SetFaults(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the fetches that ran, those refused, and the most at once.
func (s *FaultyWeightStore) Counts() (fetches, refused, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.refused, s.peak
}

// Fetch implements platform.WeightStore.
func (s *FaultyWeightStore) Fetch(ctx context.Context, _, _ string) error {
	wait, ok := s.begin()
	if !ok {
		return platform.ErrThrottled
	}
	defer s.end()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *FaultyWeightStore) begin() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.running >= s.atOnce || !s.rate.Allow() {
		s.refused++
		return 0, false
	}
	s.running++
	s.fetches++
	s.peak = max(s.peak, s.running)
	return s.each + s.faults.ExtraDelay, true
}

func (s *FaultyWeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
