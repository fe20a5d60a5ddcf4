package clientbudget

import (
	"context"
	"slices"

	"github.com/pkg/errors"
)

// MaxResponseBytes limits the body of one response that is held in memory.
const MaxResponseBytes = 8 << 20

// Errors of Wait.
var (
	// ErrTooLarge means that the share could not hold the bytes even if nothing else used it.
	ErrTooLarge = errors.New("the response is larger than the memory for responses")
	// ErrDisplaced means that a response of at most SmallBytes needed the memory.
	ErrDisplaced = errors.New("smaller responses needed the memory of the response")
)

// Response is what one response holds of a share. Its methods are called by one goroutine at a time.
//
// A response whose length is known takes all of it at once and holds nothing while it waits. One whose
// length is unknown has to keep what it has read. So that such responses cannot wait for each other in
// a circle, the oldest of them that is not complete can always grow to MaxResponseBytes: the others
// grow only as far as that leaves room for it.
type Response struct {
	// Share is set before the first call of a method.
	Share *Share
	held  int64
}

// responseWaiter is a response that waits until it can hold n bytes.
type responseWaiter struct {
	response *Response
	n        int64
	final    bool
	// done is closed when the wait ends with err.
	done chan struct{}
	err  error
}

// Resize changes what the response holds to n bytes, and reports whether they are free. final tells that
// it will not need more.
func (r *Response) Resize(n int64, final bool) bool {
	t := r.Share.total
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > r.held && (!r.fits(n, final) || n > SmallBytes && !r.isOldest() && t.hasLargeWaiter()) {
		return false
	}
	r.set(n, final)
	t.grant()
	return true
}

// Wait waits until the response holds n bytes, behind those that have waited longer. It returns the
// error of ctx if that ends first. A response of at most SmallBytes does not wait for larger ones: if
// need be, it ends the wait of the latest of them that holds memory.
func (r *Response) Wait(ctx context.Context, n int64, final bool) error {
	s, t := r.Share, r.Share.total
	t.mu.Lock()
	if n > s.limit || n > t.limit || beyondSmall(n) > s.largeLimit {
		t.mu.Unlock()
		return ErrTooLarge
	}
	w := &responseWaiter{response: r, n: n, final: final, done: make(chan struct{})}
	t.waiters = append(t.waiters, w)
	t.grant()
	t.makeRoomForSmall()
	t.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.waiters, w)
	if i < 0 {
		return w.err
	}
	t.waiters = slices.Delete(t.waiters, i, i+1)
	t.grant()
	return ctx.Err()
}

// Held returns how many bytes the response holds.
func (r *Response) Held() int64 { return r.held }

// Used returns how many bytes of the share are held.
func (s *Share) Used() int64 {
	s.total.mu.Lock()
	defer s.total.mu.Unlock()
	return s.used
}

// Waiting returns how many responses wait for memory.
func (s *Share) Waiting() int {
	s.total.mu.Lock()
	defer s.total.mu.Unlock()
	return len(s.total.waiters)
}

// fits reports whether the response may hold n bytes, more than now.
func (r *Response) fits(n int64, final bool) bool {
	s := r.Share
	if s.missing(r.held, n) > 0 {
		return false
	}
	if n <= SmallBytes || r.isOldest() || len(s.growing) == 0 {
		return true
	}
	oldest := s.growing[0]
	return s.missing(r.held, n+max(0, min(MaxResponseBytes, s.largeLimit)-oldest.held)) <= 0
}

func (r *Response) isOldest() bool { return len(r.Share.growing) > 0 && r.Share.growing[0] == r }

// set changes what the response holds without a check.
func (r *Response) set(n int64, final bool) {
	s := r.Share
	s.change(r.held, n)
	r.held = n
	i := slices.Index(s.growing, r)
	switch grows := n > SmallBytes && !final; {
	case grows && i < 0:
		s.growing = append(s.growing, r)
	case !grows && i >= 0:
		s.growing = slices.Delete(s.growing, i, i+1)
	}
}

// hasLargeWaiter reports whether a response waits for more than SmallBytes.
func (t *total) hasLargeWaiter() bool {
	return slices.ContainsFunc(t.waiters, func(w *responseWaiter) bool { return w.n > SmallBytes })
}

// grant ends the wait of all responses whose bytes are free. Those of at most SmallBytes, and the one
// that must be able to complete, do not wait for others before them.
func (t *total) grant() {
	for i, blocked := 0, false; i < len(t.waiters); i++ {
		w := t.waiters[i]
		large := w.n > SmallBytes
		if large && blocked && !w.response.isOldest() || !w.response.fits(w.n, w.final) {
			blocked = blocked || large
			continue
		}
		w.response.set(w.n, w.final)
		t.end(i, nil)
		// A response that is complete may have given way to one before it.
		i, blocked = -1, false
	}
}

// makeRoomForSmall ends the waits of larger responses that hold memory, the latest first, as long as
// responses of at most SmallBytes wait.
func (t *total) makeRoomForSmall() {
	for slices.ContainsFunc(t.waiters, func(w *responseWaiter) bool { return w.n <= SmallBytes }) {
		last := -1
		for i, w := range t.waiters {
			if w.n > SmallBytes && w.response.held > 0 {
				last = i
			}
		}
		if last < 0 {
			return
		}
		t.waiters[last].response.set(0, true)
		t.end(last, ErrDisplaced)
		t.grant()
	}
}

// end ends the wait of the response at index i.
func (t *total) end(i int, err error) {
	w := t.waiters[i]
	w.err = err
	close(w.done)
	t.waiters = slices.Delete(t.waiters, i, i+1)
}
