package fleetsim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fleet is the state of one run.
type fleet struct {
	scenario *Scenario
	log      *standin.Log
	start    time.Time
	ctx      context.Context
	over     atomic.Bool
	// end is the offset of the last record appended.
	end atomic.Uint64

	mu     sync.Mutex
	slots  []*node
	byAddr map[string]*node
	// lives counts the incarnations by slot.
	lives map[int]int
	// version is the offset of the last configuration change.
	version uint64
	struck  []bool
	result  Result
}

// spawn starts a new incarnation at the slot.
func (f *fleet) spawn(index int) *node {
	f.mu.Lock()
	f.lives[index]++
	life := f.lives[index]
	f.mu.Unlock()
	n := &node{
		fleet:       f,
		index:       index,
		dc:          index % f.scenario.DCs,
		instance:    fmt.Sprintf("entry-%03d", index),
		incarnation: fmt.Sprintf("inc-%d-%d-%d", f.scenario.Seed, index, life),
		addr:        fmt.Sprintf("10.0.0.%d:%d", index, 8000+life),
	}
	n.view.Store(fold.Empty())
	opts := f.options(n)
	n.tracker = budget.NewTracker(budget.DefaultGrantTTL)
	n.owner = budget.NewOwner(opts, n, n.tracker)
	n.holder = budget.NewHolder(opts, n, n.tracker, n.owner, link{f, n})
	f.mu.Lock()
	f.slots[index] = n
	f.byAddr[n.addr] = n
	f.mu.Unlock()
	go n.follow(f.ctx)
	return n
}

// endless is the life of grants while the rule is off.
const endless = time.Hour

func (f *fleet) options(n *node) budget.Options {
	opts := budget.Options{
		Self:    n.incarnation,
		OnStep:  n.onStep,
		OnSpend: func(c budget.Charge) { f.charged(n, c) },
	}
	if f.scenario.DisabledRule == TakeoverWait {
		opts.MaxViewAge = time.Nanosecond
	}
	if f.scenario.DisabledRule == GrantExpiry {
		opts.GrantTTL = endless
	}
	return opts
}

func (f *fleet) charged(n *node, c budget.Charge) {
	if f.over.Load() || n.isDead() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.At = c.At.Round(0)
	f.result.Charges = append(f.result.Charges, c)
}

func (f *fleet) count(req budget.GrantRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Messages++
	f.result.Bytes += size(req)
}

// slot returns the live node that takes a request meant for the slot; the
// balancer passes by dead ones.
func (f *fleet) slot(index int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.slots {
		n := f.slots[(index+i)%len(f.slots)]
		if n != nil && !n.isDead() {
			return n
		}
	}
	return f.slots[index]
}

func (f *fleet) at(addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

// elapsed is the time since the start of the load.
func (f *fleet) elapsed() time.Duration { return time.Since(f.start) }

func (f *fleet) active(kind FaultKind) bool { return f.scenario.has(kind, f.elapsed()) }
