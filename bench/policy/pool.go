package policy

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

// pool is a group of servers behind a line.
type pool struct {
	line line

	mu   sync.Mutex
	free int
}

// dispatch fills the free slots.
func (p *pool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.free > 0 && p.line.Next() {
		p.free--
	}
}

// serve runs one request and reports whether it was finished in time, and
// whether it was refused on entry.
func (p *pool) serve(r fairqueue.Request) (inTime, early bool) {
	place, err := p.line.Enter(r)
	if err != nil {
		return false, true
	}
	p.dispatch()
	if place.Wait(context.Background()) != nil {
		return false, false
	}
	time.Sleep(r.ExpectedDuration)
	place.Done(r.Tokens)
	p.mu.Lock()
	p.free++
	p.mu.Unlock()
	p.dispatch()
	return !time.Now().After(r.Deadline), false
}
