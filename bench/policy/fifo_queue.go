package policy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

var errFull = errors.New("queue is full")

var errTooLate = errors.New("too late to finish before the deadline")

// fifoLimit is the same as the default limit of the queue under test.
const fifoLimit = 2048

// fifoQueue is the first-come-first-served baseline. It drops requests that can no
// longer finish before their deadline, so that it wastes no capacity on them.
type fifoQueue struct {
	mu      sync.Mutex
	waiting []*fifoTicket
}

type fifoTicket struct {
	latestStart time.Time
	dispatched  chan error
}

// Enqueue implements requestQueue.
func (q *fifoQueue) Enqueue(r fairqueue.Request) (ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= fifoLimit {
		return nil, errFull
	}
	t := &fifoTicket{latestStart: r.Deadline.Add(-r.ExpectedDuration), dispatched: make(chan error, 1)}
	q.waiting = append(q.waiting, t)
	return t, nil
}

// DispatchNext implements requestQueue.
func (q *fifoQueue) DispatchNext() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if time.Now().After(t.latestStart) {
			t.dispatched <- errTooLate
			continue
		}
		t.dispatched <- nil
		return true
	}
	return false
}

// Wait implements ticket.
func (t *fifoTicket) Wait(context.Context) error { return <-t.dispatched }

// Done implements ticket.
func (t *fifoTicket) Done(float64) {}
