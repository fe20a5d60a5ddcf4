package fleetsim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
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

	view    atomic.Pointer[fold.View]
	contact atomic.Int64
	joined  bool

	tracker *budget.Tracker
	owner   *budget.Owner
	holder  *budget.Holder

	mu          sync.Mutex
	dead        bool
	pausedUntil time.Time
	// blocked counts the goroutines that wait for the end of a pause; they go on
	// one after the other, so that their order follows from the seed.
	blocked int
}

// View implements budget.Fleet.
func (n *node) View() *fold.View { return n.view.Load() }

// MayWork implements budget.Fleet.
func (n *node) MayWork() bool {
	if n.fleet.over.Load() || n.isDead() {
		return false
	}
	if n.fleet.scenario.DisabledRule == ViewAgeLimit {
		return true
	}
	return time.Since(time.Unix(0, n.contact.Load())) <= budget.DefaultMaxViewAge
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

// runs blocks while the node is paused, and until the end of the run when it
// is dead.
func (n *node) runs() {
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

// onStep is the hook at the protocol's steps.
func (n *node) onStep(step budget.Step) {
	n.fleet.strike(n, step)
	n.runs()
}

const (
	readWait  = time.Second
	retryWait = 200 * time.Millisecond
	pageLimit = 100
)

// follow folds the control stream, as a relay does.
func (n *node) follow(ctx context.Context) {
	sleep(ctx, n.lag())
	for ctx.Err() == nil {
		n.runs()
		sent := time.Now()
		page, err := n.fleet.log.Read(ctx, record.ControlStream, n.View().Offset, pageLimit, readWait)
		sleep(ctx, n.lag())
		n.runs()
		if err != nil || n.fleet.cutFromLog(n) {
			n.confirmOutage()
			sleep(ctx, retryWait)
			continue
		}
		n.apply(page)
		if n.View().Offset == page.End {
			n.contact.Store(sent.UnixNano())
		}
		if n.gone() {
			n.fleet.restart(n)
			return
		}
	}
}

// lag keeps the nodes from acting at the same instant, where their order would
// not follow from the seed.
func (n *node) lag() time.Duration { return time.Duration(1+n.index) * 97 * time.Microsecond }

func (n *node) apply(page platform.Page) {
	for _, r := range page.Records {
		next, _, _ := n.View().ApplyRecord(r)
		n.view.Store(next)
		if !n.fleet.skipsViews(n) {
			n.tracker.Observe(next)
		}
	}
	n.tracker.Observe(n.View())
}

// confirmOutage refreshes the view age where the freshness protocol would: the
// log is down for everyone, no data centre is cut off, and the view is complete.
func (n *node) confirmOutage() {
	if n.fleet.outageConfirmed() && uint64(n.View().Offset) == n.fleet.end.Load() {
		n.contact.Store(time.Now().UnixNano())
	}
}

// gone reports whether the node's incarnation has ended in its own view.
func (n *node) gone() bool {
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
