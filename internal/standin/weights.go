package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// WeightStore is a rate-limited weight store without data.
type WeightStore struct {
	limiter  *rate.Limiter
	maxLoads int
	// Transfer is the time that one transfer takes.
	transfer time.Duration

	mu       sync.Mutex
	inFlight int
	fetched  int
}

var _ platform.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store that starts loadsPerS transfers a second, runs
// at most maxLoads at once and takes transfer for each.
func NewWeightStore(loadsPerS float64, maxLoads int, transfer time.Duration) *WeightStore {
	return &WeightStore{
		limiter:  rate.NewLimiter(rate.Limit(loadsPerS), maxLoads),
		maxLoads: maxLoads,
		transfer: transfer,
	}
}

// Fetch implements platform.WeightStore.
func (w *WeightStore) Fetch(ctx context.Context, _, _ string) error {
	if !w.begin() {
		return platform.ErrThrottled
	}
	defer w.end()
	select {
	case <-time.After(w.transfer):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Fetched returns the number of transfers started.
func (w *WeightStore) Fetched() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetched
}

func (w *WeightStore) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight >= w.maxLoads || !w.limiter.Allow() {
		return false
	}
	w.inFlight++
	w.fetched++
	return true
}

func (w *WeightStore) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}
