package clientbudget

import "golang.org/x/sync/semaphore"

const (
	// SmallBytes is the part of what one request holds that may use the whole share.
	SmallBytes = 64 << 10
	// largeShare is the part of a share for all that requests hold beyond SmallBytes. The rest stays
	// free for small ones while others fill the share, faulty ones without an end among them.
	largeShare = 0.75
)

// Share bounds the bytes held for one purpose, in capacity of the buffers. It may be part of a total
// for several purposes.
type Share struct {
	total, all, large *semaphore.Weighted
}

// NewShare returns a share of limit bytes that is part of no total.
func NewShare(limit int64) *Share { return newShare(nil, limit) }

func newShare(total *semaphore.Weighted, limit int64) *Share {
	return &Share{total: total, all: semaphore.NewWeighted(limit), large: semaphore.NewWeighted(int64(largeShare * float64(limit)))}
}

// Resize changes what one request holds from one number of bytes to another. It reports whether they
// are free.
func (s *Share) Resize(from, to int64) bool {
	more, moreLarge := to-from, max(0, to-SmallBytes)-max(0, from-SmallBytes)
	if more <= 0 {
		s.release(-more, -moreLarge)
		return true
	}
	return s.acquire(more, moreLarge)
}

func (s *Share) acquire(n, large int64) bool {
	if !s.large.TryAcquire(large) {
		return false
	}
	if !s.all.TryAcquire(n) {
		s.large.Release(large)
		return false
	}
	if s.total != nil && !s.total.TryAcquire(n) {
		s.all.Release(n)
		s.large.Release(large)
		return false
	}
	return true
}

func (s *Share) release(n, large int64) {
	s.all.Release(n)
	s.large.Release(large)
	if s.total != nil {
		s.total.Release(n)
	}
}
