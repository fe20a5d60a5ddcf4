package entry

import (
	"context"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/dispatch"
)

// QueuedRequest describes a request that waits to be dispatched.
type QueuedRequest struct {
	Team     string
	Class    dispatch.Class
	Deadline time.Time
	// Tokens is the request's estimated cost.
	Tokens float64
}

// Queue decides when this instance dispatches each request.
type Queue interface {
	// Wait blocks until the request may be dispatched. The caller must call done
	// exactly once, when the request has ended. Errors have kind queue_full or
	// deadline_unmet.
	Wait(ctx context.Context, r QueuedRequest) (done func(DispatchResult), err error)
}

// DispatchResult describes how a dispatched request ended.
type DispatchResult struct {
	// Tokens is the actual cost, 0 if the request did not run.
	Tokens float64
	// Busy is set if the request did not run because the upstreams were at their
	// limits.
	Busy bool
}
