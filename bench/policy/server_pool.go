package policy

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// serverPool is a group of servers behind one queue.
type serverPool struct {
	queue requestQueue

	mu        sync.Mutex
	freeSlots int
}

// dispatch starts queued requests until no slot is free or the queue is empty.
func (p *serverPool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.freeSlots > 0 && p.queue.DispatchNext() {
		p.freeSlots--
	}
}

// serve queues and runs one request. It reports whether the request finished before
// its deadline and whether Enqueue refused it.
func (p *serverPool) serve(r fairqueue.Request) (inTime, refusedOnEnqueue bool) {
	ticket, err := p.queue.Enqueue(r)
	if err != nil {
		return false, true
	}
	p.dispatch()
	if ticket.Wait(context.Background()) != nil {
		return false, false
	}
	time.Sleep(r.ExpectedDuration)
	ticket.Done(r.Tokens)
	p.mu.Lock()
	p.freeSlots++
	p.mu.Unlock()
	p.dispatch()
	return !time.Now().After(r.Deadline), false
}
