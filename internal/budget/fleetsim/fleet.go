package fleetsim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/standin"
)

// fleet is the state of one simulation run.
type fleet struct {
	scenario *Scenario
	log      *standin.Log
	start    time.Time
	ctx      context.Context
	finished atomic.Bool
	// lastOffset is the offset of the last record appended.
	lastOffset atomic.Uint64

	mu sync.Mutex
	// slots has the latest incarnation of each node.
	slots  []*node
	byAddr map[string]*node
	// incarnations counts the incarnations by slot.
	incarnations map[int]int
	// version is the offset of the last configuration change.
	version uint64
	// applied tells which of the scenario's faults were applied.
	applied []bool
	result  Result
}

// startNode starts a new incarnation of the node in a slot.
func (f *fleet) startNode(index int) *node {
	f.mu.Lock()
	f.incarnations[index]++
	count := f.incarnations[index]
	f.mu.Unlock()
	n := &node{
		fleet:       f,
		index:       index,
		dc:          index % f.scenario.DCs,
		instance:    fmt.Sprintf("entry-%03d", index),
		incarnation: fmt.Sprintf("inc-%d-%d-%d", f.scenario.Seed, index, count),
		addr:        fmt.Sprintf("10.0.0.%d:%d", index, 8000+count),
	}
	n.view.Store(controlstate.Empty())
	opts := f.options(n)
	n.tracker = budget.NewTracker(budget.DefaultGrantTTL)
	n.owner = budget.NewOwner(opts, n, n.tracker)
	n.holder = budget.NewHolder(opts, n, n.tracker, n.owner, link{f, n})
	f.mu.Lock()
	f.slots[index] = n
	f.byAddr[n.addr] = n
	f.mu.Unlock()
	go n.followLog(f.ctx)
	return n
}

// unlimitedTTL is the TTL of grants while the rule GrantExpiry is disabled.
const unlimitedTTL = time.Hour

func (f *fleet) options(n *node) budget.Options {
	opts := budget.Options{
		Self:    n.incarnation,
		OnStep:  n.onStep,
		OnSpend: func(c budget.Charge) { f.recordCharge(n, c) },
	}
	if f.scenario.DisabledRule == TakeoverWait {
		opts.MaxViewAge = time.Nanosecond
	}
	if f.scenario.DisabledRule == GrantExpiry {
		opts.GrantTTL = unlimitedTTL
	}
	return opts
}

func (f *fleet) recordCharge(n *node, c budget.Charge) {
	if f.finished.Load() || n.isDead() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.At = c.At.Round(0)
	f.result.Charges = append(f.result.Charges, c)
}

func (f *fleet) countMessage(req budget.GrantRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Messages++
	f.result.Bytes += messageBytes(req)
}

// liveNode returns the node that receives a request for a slot. Like a load
// balancer, it skips dead nodes.
func (f *fleet) liveNode(index int) *node {
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

func (f *fleet) nodeAt(addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

// elapsed is the time since the start of the load.
func (f *fleet) elapsed() time.Duration { return time.Since(f.start) }

func (f *fleet) active(kind FaultKind) bool { return f.scenario.faultActive(kind, f.elapsed()) }
