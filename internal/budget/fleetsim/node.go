package fleetsim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// node is one incarnation of an entry instance.
type node struct {
	fleet       *fleet
	index       int
	dc          int
	instance    string
	incarnation string
	addr        string

	view atomic.Pointer[controlstate.View]
	// lastContact is the time as of which the view was complete, in Unix
	// nanoseconds.
	lastContact atomic.Int64
	// joined is set once the node has seen its own incarnation in the view.
	joined bool

	tracker *budget.Tracker
	owner   *budget.Owner
	holder  *budget.Holder

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
	// blocked counts the waits for the end of a pause. Each wait takes 1 µs
	// longer than the one before, so that goroutines resume one after the other
	// in an order that depends on the seed.
	blocked int
}

// View implements budget.Fleet.
func (n *node) View() *controlstate.View { return n.view.Load() }

// MayWork implements budget.Fleet.
func (n *node) MayWork() bool {
	if n.fleet.finished.Load() || n.isDead() {
		return false
	}
	if n.fleet.scenario.DisabledRule == ViewAgeLimit {
		return true
	}
	return time.Since(time.Unix(0, n.lastContact.Load())) <= budget.DefaultMaxViewAge
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

func (n *node) pause(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
}

// waitWhilePaused blocks while the node is paused. On a dead node it blocks until
// the end of the run.
func (n *node) waitWhilePaused() {
	for {
		n.mu.Lock()
		dead, wait := n.dead, time.Until(n.pausedUntil)
		if wait > 0 {
			n.blocked++
			wait += time.Duration(n.blocked) * time.Microsecond
		}
		n.mu.Unlock()
		if dead {
			<-n.fleet.ctx.Done()
			return
		}
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-n.fleet.ctx.Done():
			return
		}
	}
}

// onStep implements budget.Options.OnStep.
func (n *node) onStep(step budget.Step) {
	n.fleet.applyStepFaults(n, step)
	n.waitWhilePaused()
}

const (
	readWait  = time.Second
	retryWait = 200 * time.Millisecond
	pageLimit = 100
)

// followLog reads the control stream and applies its records to the view, as
// package relay does.
func (n *node) followLog(ctx context.Context) {
	sleep(ctx, n.stagger())
	for ctx.Err() == nil {
		n.waitWhilePaused()
		sent := time.Now()
		page, err := n.fleet.log.Read(ctx, record.ControlStream, n.View().Offset, pageLimit, readWait)
		sleep(ctx, n.stagger())
		n.waitWhilePaused()
		if err != nil || n.fleet.cutFromLog(n) {
			n.confirmOutage()
			sleep(ctx, retryWait)
			continue
		}
		n.applyPage(page)
		if n.View().Offset == page.End {
			n.lastContact.Store(sent.UnixNano())
		}
		if n.removed() {
			n.fleet.restart(n)
			return
		}
	}
}

// stagger returns a delay that differs between nodes. If two nodes acted at the same
// instant, their order would not depend on the seed alone.
func (n *node) stagger() time.Duration { return time.Duration(1+n.index) * 97 * time.Microsecond }

func (n *node) applyPage(page backing.Page) {
	for _, r := range page.Records {
		next, _, _ := n.View().ApplyRecord(r)
		n.view.Store(next)
		if !n.fleet.observesLastViewOnly(n) {
			n.tracker.Observe(next)
		}
	}
	n.tracker.Observe(n.View())
}

// confirmOutage resets the view age in the cases in which package freshness does:
// the log is down for all nodes, no data centre is cut off, and the view is
// complete.
func (n *node) confirmOutage() {
	if n.fleet.outageConfirmed() && uint64(n.View().Offset) == n.fleet.lastOffset.Load() {
		n.lastContact.Store(time.Now().UnixNano())
	}
}

// removed reports whether the node's own view shows that its incarnation was
// removed or replaced.
func (n *node) removed() bool {
	m, ok := n.View().Members.Get(n.instance)
	if ok && m.Incarnation == n.incarnation {
		n.joined = true
		return false
	}
	return n.joined
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
