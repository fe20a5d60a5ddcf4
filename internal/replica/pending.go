package replica

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// outcome is what became of an own append. lost means that the view jumped
// over the record to a snapshot, so that its verdict cannot be told.
type outcome struct {
	verdict fold.ApplyResult
	offset  platform.Offset
	lost    bool
}

// pendingAppends are the own appends whose record has not been folded yet.
type pendingAppends struct {
	mu   sync.Mutex
	byID map[string]chan outcome
}

func newPendingAppends() *pendingAppends {
	return &pendingAppends{byID: make(map[string]chan outcome)}
}

// expect registers an id before its append, so that a record that returns
// faster than the append's answer is not missed.
func (p *pendingAppends) expect(id string) <-chan outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := make(chan outcome, 1)
	p.byID[id] = ch
	return ch
}

func (p *pendingAppends) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// settle delivers the first outcome of an id; repetitions are void and come
// after it.
func (p *pendingAppends) settle(id string, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.byID[id]; ok {
		delete(p.byID, id)
		ch <- o
	}
}

// skipped delivers a lost outcome for every id that a restored view contains.
func (p *pendingAppends) skipped(v *fold.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, ch := range p.byID {
		if v.Seen(id) {
			delete(p.byID, id)
			ch <- outcome{lost: true}
		}
	}
}
