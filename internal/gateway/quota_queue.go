package gateway

import (
	"cmp"
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/admission"
)

// defaultMaxWaitingBytes is enough for 256 prompts of 9 KB and their copies.
const defaultMaxWaitingBytes = 5 << 20

// quotaQueue holds the requests that wait for tokens of their teams. It is safe for concurrent use.
type quotaQueue struct {
	mu    sync.Mutex
	queue admission.Queue
}

func newQuotaQueue(maxBytes int64) *quotaQueue {
	return &quotaQueue{queue: admission.Queue{MaxBytes: cmp.Or(maxBytes, defaultMaxWaitingBytes)}}
}

// add adds w, and reports whether there was a place for it.
func (q *quotaQueue) add(w *admission.Waiting) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Add(w)
}

func (q *quotaQueue) remove(w *admission.Waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(w)
}

func (q *quotaQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}
