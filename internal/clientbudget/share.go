package clientbudget

import "sync"

const (
	// SmallBytes is the part of what one request holds that may use the whole share.
	SmallBytes = 64 << 10
	// largeShare is the part of a share for all that requests hold beyond SmallBytes. The rest stays
	// free for small ones while others fill the share, faulty ones without an end among them.
	largeShare = 0.75
)

// total bounds the bytes of all purposes.
type total struct {
	mu          sync.Mutex
	limit, used int64
	// waiters are the responses that wait for bytes, in the order of their arrival.
	waiters []*responseWaiter
}

// Share bounds the bytes held for one purpose, in capacity of the buffers. It is part of a total for all
// purposes.
type Share struct {
	total *total
	// used and large count the bytes, and those beyond SmallBytes of a request.
	limit, used, largeLimit, large int64
	// growing are the responses beyond SmallBytes that may need more, in the order in which they
	// exceeded it.
	growing []*Response
}

// NewShare returns a share of limit bytes that is the only one.
func NewShare(limit int64) *Share { return newShare(&total{limit: limit}, limit) }

func newShare(t *total, limit int64) *Share {
	return &Share{total: t, limit: limit, largeLimit: int64(largeShare * float64(limit))}
}

// Resize changes what one request holds from one number of bytes to another. It reports whether they
// are free.
func (s *Share) Resize(from, to int64) bool {
	s.total.mu.Lock()
	defer s.total.mu.Unlock()
	if to > from && s.missing(from, to) > 0 {
		return false
	}
	s.change(from, to)
	if to < from {
		s.total.grant()
	}
	return true
}

// change counts what one request or response holds, without a check.
func (s *Share) change(from, to int64) {
	s.used += to - from
	s.large += beyondSmall(to) - beyondSmall(from)
	s.total.used += to - from
}

// Missing returns how many bytes must become free for Resize.
func (s *Share) Missing(from, to int64) int64 {
	s.total.mu.Lock()
	defer s.total.mu.Unlock()
	return s.missing(from, to)
}

func (s *Share) missing(from, to int64) int64 {
	more, moreLarge := to-from, beyondSmall(to)-beyondSmall(from)
	return max(s.used+more-s.limit, s.total.used+more-s.total.limit, s.large+moreLarge-s.largeLimit)
}

func beyondSmall(n int64) int64 { return max(0, n-SmallBytes) }
