package policy

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// requestQueue is a queue in front of a serverPool.
type requestQueue interface {
	// Enqueue adds the request to the queue or refuses it.
	Enqueue(r fairqueue.Request) (ticket, error)
	// DispatchNext dispatches the next request and reports whether there was one.
	DispatchNext() bool
}

// ticket represents one request in a queue.
type ticket interface {
	Wait(ctx context.Context) error
	Done(actual float64)
}

// fairQueue adapts fairqueue.Queue, the queue under test.
type fairQueue struct{ queue *fairqueue.Queue }

// Enqueue implements requestQueue.
func (q fairQueue) Enqueue(r fairqueue.Request) (ticket, error) {
	t, err := q.queue.Enqueue(r)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// DispatchNext implements requestQueue.
func (q fairQueue) DispatchNext() bool { return q.queue.Dequeue() != nil }
