package policy

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// line is a queue discipline.
type line interface {
	// Enter queues the request or refuses it.
	Enter(r fairqueue.Request) (place, error)
	// Next dispatches the next request and reports whether there was one.
	Next() bool
}

// place is a request's place in a line.
type place interface {
	Wait(ctx context.Context) error
	Done(actual float64)
}

// fairLine is the queue under test.
type fairLine struct{ queue *fairqueue.Queue }

// Enter implements line.
func (l fairLine) Enter(r fairqueue.Request) (place, error) {
	t, err := l.queue.Enqueue(r)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Next implements line.
func (l fairLine) Next() bool { return l.queue.Dequeue() != nil }
