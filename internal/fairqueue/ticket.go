package fairqueue

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// QueuedRequest is the place of one request in the queue.
type QueuedRequest struct {
	Request
	queue *Queue
	// index is the position in the lane's heap, -1 after leaving it.
	index int
	// done receives the outcome once: nil for dispatched.
	done chan error
}

// Wait returns nil once the request is dispatched; the caller then runs it and
// calls Done. It returns an *errkind.Error of kind deadline_unmet when the
// request can no longer be finished in time, or when ctx ends.
func (t *QueuedRequest) Wait(ctx context.Context) error {
	timer := time.NewTimer(time.Until(t.latestStart()))
	defer timer.Stop()
	select {
	case err := <-t.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	if t.queue.leave(t) {
		return errUnmet(ctx.Err())
	}
	return <-t.done
}

// Done corrects the team's account to the actual count of tokens. Call it once
// for each dispatched request, with 0 if the request was not run.
func (t *QueuedRequest) Done(actual float64) { t.queue.settle(t, actual) }

func errUnmet(cause error) error {
	return errkind.Wrap(errkind.DeadlineUnmet, "the request could not start in time", cause)
}
