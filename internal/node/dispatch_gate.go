package node

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// Bounds of the requests that one entry instance dispatches at once. The
// agents enforce their own limits; this one decides when requests wait in the
// fair queue instead of being refused by busy agents.
const (
	// startDispatch exceeds the 172 streams that a node runs at the target's peak:
	// the gate must not hold back requests before an upstream has said that it is busy.
	startDispatch = 1024
	minDispatch   = 4
	maxDispatch   = 4096
	// busyBackoff shrinks the limit when upstreams refuse for lack of room.
	busyBackoff = 0.8
	// expectedRun is taken off a deadline when the queue judges whether a
	// request can still be finished.
	expectedRun = 50 * time.Millisecond
)

// dispatchGate lets requests out of the fair queue while upstreams take them.
// Its limit shrinks when an upstream is busy and grows by one with each request
// that one has taken. A slower growth left a node at 64 streams, and the queue
// then refused the others for their deadlines.
type dispatchGate struct {
	queue  *fairqueue.Queue
	weight func(team string) float64

	mu       sync.Mutex
	inFlight int
	limit    float64
}

func newDispatchGate(queue *fairqueue.Queue, weight func(team string) float64) *dispatchGate {
	return &dispatchGate{queue: queue, weight: weight, limit: startDispatch}
}

// Wait returns when it is the request's turn; see entry.Queue.
func (g *dispatchGate) Wait(ctx context.Context, t entry.Turn) (func(entry.Served), error) {
	class, _ := fairqueue.ParseClass(string(t.Class))
	ticket, err := g.queue.Enqueue(fairqueue.Request{
		Team: t.Team, Weight: g.weight(t.Team), Class: class, Tokens: t.Tokens, Deadline: t.Deadline, ExpectedDuration: expectedRun,
	})
	if err != nil {
		return nil, err
	}
	g.pump()
	if err := ticket.Wait(ctx); err != nil {
		return nil, err
	}
	return func(s entry.Served) {
		ticket.Done(s.Tokens)
		g.finish(s.Busy)
	}, nil
}

// pump dispatches waiting requests while there is room.
func (g *dispatchGate) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.inFlight < int(g.limit) && g.queue.Dequeue() != nil {
		g.inFlight++
	}
}

func (g *dispatchGate) finish(busy bool) {
	g.mu.Lock()
	g.inFlight--
	if busy {
		g.limit = max(minDispatch, g.limit*busyBackoff)
	} else {
		g.limit = min(maxDispatch, g.limit+1)
	}
	g.mu.Unlock()
	g.pump()
}
