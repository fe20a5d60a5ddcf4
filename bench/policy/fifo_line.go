package policy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
)

var errFull = errors.New("queue is full")

var errLate = errors.New("too late to start")

// fifoLimit is the default bound of the queue under test.
const fifoLimit = 2048

// fifoLine serves first come first served. It passes by requests that can no
// longer be finished in time, so that it wastes no service on them.
type fifoLine struct {
	mu      sync.Mutex
	waiting []*fifoPlace
}

type fifoPlace struct {
	latest time.Time
	done   chan error
}

// Enter implements line.
func (l *fifoLine) Enter(r fairqueue.Request) (place, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= fifoLimit {
		return nil, errFull
	}
	p := &fifoPlace{latest: r.Deadline.Add(-r.ExpectedDuration), done: make(chan error, 1)}
	l.waiting = append(l.waiting, p)
	return p, nil
}

// Next implements line.
func (l *fifoLine) Next() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		p := l.waiting[0]
		l.waiting = l.waiting[1:]
		if time.Now().After(p.latest) {
			p.done <- errLate
			continue
		}
		p.done <- nil
		return true
	}
	return false
}

// Wait implements place.
func (p *fifoPlace) Wait(context.Context) error { return <-p.done }

// Done implements place.
func (p *fifoPlace) Done(float64) {}
