package entry

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/work"
)

// QueuedRequest is a request's place in the queue.
type QueuedRequest struct {
	Team     string
	Class    work.Class
	Deadline time.Time
	// Tokens is the request's estimated cost.
	Tokens float64
}

// Queue orders the requests that this instance dispatches.
type Queue interface {
	// Wait returns when it is the request's turn; done ends the turn and must be
	// called once. Errors have kind queue_full or deadline_unmet.
	Wait(ctx context.Context, t QueuedRequest) (done func(DispatchResult), err error)
}

// DispatchResult tells how a turn was used.
type DispatchResult struct {
	// Tokens is the actual cost, 0 when the request did not run.
	Tokens float64
	// Busy tells that the upstreams had no room.
	Busy bool
}
