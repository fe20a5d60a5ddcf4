package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// WeightStoreFaults selects the faults that a FaultyWeightStore injects.
type WeightStoreFaults struct {
	// Refuse makes every fetch fail with ErrThrottled.
	Refuse bool
	// ExtraDelay is added to the duration of each fetch.
	ExtraDelay time.Duration
}

// FaultyWeightStore is an in-process weight store without data. A fetch takes a
// fixed time; one that exceeds the concurrency or rate limit is refused. It is
// safe for concurrent use.
type FaultyWeightStore struct {
	fetchTime   time.Duration
	maxInFlight int
	limiter     *rate.Limiter

	mu       sync.Mutex
	faults   WeightStoreFaults
	inFlight int
	peak     int
	fetches  int
	refused  int
}

var _ backing.WeightStore = (*FaultyWeightStore)(nil)

// NewFaultyWeightStore returns a store in which a fetch takes fetchTime. It runs at
// most maxInFlight fetches concurrently and starts at most perSecond a second.
func NewFaultyWeightStore(fetchTime time.Duration, maxInFlight int, perSecond float64) *FaultyWeightStore {
	return &FaultyWeightStore{fetchTime: fetchTime, maxInFlight: maxInFlight, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, maxInFlight))}
}

// SetFaults replaces the injected faults.
func (s *FaultyWeightStore) SetFaults(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of fetches started, the number refused, and the
// highest number in flight at the same time.
func (s *FaultyWeightStore) Counts() (fetches, refused, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.refused, s.peak
}

// Fetch implements backing.WeightStore.
func (s *FaultyWeightStore) Fetch(ctx context.Context, _, _ string) error {
	wait, ok := s.begin()
	if !ok {
		return backing.ErrThrottled
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
	if s.faults.Refuse || s.inFlight >= s.maxInFlight || !s.limiter.Allow() {
		s.refused++
		return 0, false
	}
	s.inFlight++
	s.fetches++
	s.peak = max(s.peak, s.inFlight)
	return s.fetchTime + s.faults.ExtraDelay, true
}

func (s *FaultyWeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
