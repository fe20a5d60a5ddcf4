package replica

import (
	"sync"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
)

// outcome is the result of an append by this instance. If skipped is true, a
// snapshot that includes the record replaced the view, so its verdict is
// unknown.
type outcome struct {
	verdict controlstate.ApplyResult
	offset  backing.Offset
	skipped bool
}

// pendingAppends holds the appends by this instance whose records the view does
// not include yet.
type pendingAppends struct {
	mu   sync.Mutex
	byID map[string]chan outcome
}

func newPendingAppends() *pendingAppends {
	return &pendingAppends{byID: make(map[string]chan outcome)}
}

// register adds an id. Call it before the append, because the record may be
// read back before the response to the append arrives.
func (p *pendingAppends) register(id string) <-chan outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := make(chan outcome, 1)
	p.byID[id] = ch
	return ch
}

func (p *pendingAppends) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// deliver sends the outcome to the waiter for the id. Only the first record of
// an id counts; repetitions have no effect and find no waiter.
func (p *pendingAppends) deliver(id string, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.byID[id]; ok {
		delete(p.byID, id)
		ch <- o
	}
}

// deliverSkipped sends a skipped outcome for every id that a restored view
// includes.
func (p *pendingAppends) deliverSkipped(v *controlstate.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, ch := range p.byID {
		if v.Seen(id) {
			delete(p.byID, id)
			ch <- outcome{skipped: true}
		}
	}
}
