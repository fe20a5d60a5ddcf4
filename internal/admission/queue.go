package admission

import "slices"

// MaxWaiting is the largest number of requests that wait in one instance. Each holds a
// connection and a goroutine.
const MaxWaiting = 256

// Queue holds the requests that wait in one instance, in their order. When it is full, the last
// in order is evicted.
type Queue struct {
	// MaxBytes is the memory that the waiting requests may hold together.
	MaxBytes int64
	waiting  []*Waiting
	bytes    int64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add adds w unless those that come before it leave no place. It evicts those that come after
// it if their place is needed.
func (q *Queue) Add(w *Waiting) bool {
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiting) int {
		if compareWaiting(a, b) <= 0 {
			return -1 // equal ones keep the order in which they came
		}
		return 1
	})
	before := w.Bytes
	for _, other := range q.waiting[:i] {
		before += other.Bytes
	}
	if i >= MaxWaiting || before > q.MaxBytes {
		return false
	}
	q.waiting = slices.Insert(q.waiting, i, w)
	q.bytes += w.Bytes
	for len(q.waiting) > MaxWaiting || q.bytes > q.MaxBytes {
		last := q.waiting[len(q.waiting)-1]
		q.Remove(last)
		close(last.Evicted)
	}
	return true
}

// Remove removes w if it still waits.
func (q *Queue) Remove(w *Waiting) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.bytes -= w.Bytes
	}
}
