package fairqueue

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// QueuedRequest is a request that Enqueue has accepted.
type QueuedRequest struct {
	Request
	queue *Queue
	// index is the position in the heap of the class queue, -1 after removal.
	index int
	// done receives one value: nil on dispatch, or the refusal.
	done chan error
}

// Wait blocks until the request is dispatched. The caller then runs the request
// and calls Done. Wait returns an *errkind.Error of kind deadline_unmet if the
// request can no longer be finished before its deadline, or if ctx ends.
func (q *QueuedRequest) Wait(ctx context.Context) error {
	timer := time.NewTimer(time.Until(q.latestStart()))
	defer timer.Stop()
	select {
	case err := <-q.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if q.queue.removeWaiting(q) {
		return errDeadlineUnmet(ctx.Err())
	}
	return <-q.done
}

// Done charges the team the actual number of tokens instead of the estimate. Call
// it once for each dispatched request, with 0 if the request was not run.
func (q *QueuedRequest) Done(actual float64) { q.queue.adjustCharge(q, actual) }

func errDeadlineUnmet(cause error) error {
	return errkind.Wrap(errkind.DeadlineUnmet, "the request was not dispatched in time", cause)
}
