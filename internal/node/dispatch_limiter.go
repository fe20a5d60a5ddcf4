package node

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// Limits on the number of requests that one entry instance has dispatched at a
// time. Agents enforce their own limits; this one makes requests wait in the
// fair queue instead of being refused by busy agents.
const (
	// initialDispatchLimit exceeds the 172 concurrent streams of an instance at
	// the target peak load, so that no request waits before an upstream has
	// reported that it is busy.
	initialDispatchLimit = 1024
	minDispatchLimit     = 4
	maxDispatchLimit     = 4096
	// busyDecreaseFactor multiplies the limit when upstreams refuse a request for
	// lack of capacity.
	busyDecreaseFactor = 0.8
	// expectedRunTime is the run time that the queue assumes when it decides
	// whether a request can still meet its deadline.
	expectedRunTime = 50 * time.Millisecond
)

// dispatchLimiter limits the concurrency of the requests dispatched from the
// fair queue, with additive increase and multiplicative decrease: the limit
// shrinks when an upstream is busy, and grows by one with each other request that
// ends. With slower growth the limit stayed at 64 streams, and the queue refused
// further requests because they would miss their deadlines.
type dispatchLimiter struct {
	queue      *fairqueue.Queue
	teamWeight func(team string) float64

	mu       sync.Mutex
	inFlight int
	limit    float64
}

func newDispatchLimiter(queue *fairqueue.Queue, teamWeight func(team string) float64) *dispatchLimiter {
	return &dispatchLimiter{queue: queue, teamWeight: teamWeight, limit: initialDispatchLimit}
}

// Wait implements entry.Queue. It returns when the request may be dispatched.
func (l *dispatchLimiter) Wait(ctx context.Context, r entry.QueuedRequest) (func(entry.DispatchResult), error) {
	class, _ := fairqueue.ParseClass(string(r.Class))
	ticket, err := l.queue.Enqueue(fairqueue.Request{
		Team: r.Team, Weight: l.teamWeight(r.Team), Class: class, Tokens: r.Tokens, Deadline: r.Deadline, ExpectedDuration: expectedRunTime,
	})
	if err != nil {
		return nil, err
	}
	l.dispatchWaiting()
	if err := ticket.Wait(ctx); err != nil {
		return nil, err
	}
	return func(result entry.DispatchResult) {
		ticket.Done(result.Tokens)
		l.release(result.Busy)
	}, nil
}

// dispatchWaiting dispatches waiting requests until the limit is reached.
func (l *dispatchLimiter) dispatchWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inFlight < int(l.limit) && l.queue.Dequeue() != nil {
		l.inFlight++
	}
}

func (l *dispatchLimiter) release(busy bool) {
	l.mu.Lock()
	l.inFlight--
	if busy {
		l.limit = max(minDispatchLimit, l.limit*busyDecreaseFactor)
	} else {
		l.limit = min(maxDispatchLimit, l.limit+1)
	}
	l.mu.Unlock()
	l.dispatchWaiting()
}
