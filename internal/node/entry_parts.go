package node

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/place"
)

// sweepInterval is how often state of lost shares and teams is dropped.
const sweepInterval = time.Minute

// entryParts belong to one incarnation of an entry instance. The limits of the
// queue and the idempotency window are read from the configuration when the
// instance joins.
type entryParts struct {
	tracker *budget.Tracker
	owner   *budget.Owner
	holder  *budget.Holder
	writer  *once.Writer
	once    *once.Client
	loads   *loadqueue.Owner
	gate    *dispatchGate
}

func newEntryParts(ctx context.Context, f *fleet, m fold.Member) (*entryParts, error) {
	o := budget.Options{Self: m.Incarnation}
	p := &entryParts{tracker: budget.NewTracker(0)}
	p.owner = budget.NewOwner(o, f, p.tracker)
	p.holder = budget.NewHolder(o, f, p.tracker, p.owner, f.peers)
	limits := f.View().Limits.WithDefaults()
	calls := once.Options{IdempotencyWindow: time.Duration(limits.IdempotencyWindowS) * time.Second}
	p.writer = once.NewWriter(f.log, f, m.Ref(), calls, rand.Reader)
	p.once = once.NewClient(m.Ref(), f, f.peers, f.peers, calls, rand.Reader)
	p.gate = newDispatchGate(fairqueue.New(fairqueue.Options{Limit: limits.QueueRequests, BulkShare: limits.BulkShare}), f.weight)
	p.loads = loadqueue.NewOwner(m.Ref(), f)
	planner := &place.Planner{Self: m.Ref(), Views: f, Log: reports{f}, Logger: f.logger}
	go p.writer.Run(ctx)
	go planner.Run(ctx)
	go every(ctx, sweepInterval, p.sweep)
	return p, nil
}

func (p *entryParts) sweep() {
	p.owner.Sweep()
	p.holder.Sweep()
	p.gate.queue.Sweep()
}

// every calls do at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do()
		}
	}
}

// entryIncarnations gives the role the parts of the present incarnation.
type entryIncarnations struct {
	incarnations[entryParts]
}

func (e *entryIncarnations) owner() *budget.Owner {
	if p := e.current.Load(); p != nil {
		return p.owner
	}
	return nil
}

func (e *entryIncarnations) loads() *loadqueue.Owner {
	if p := e.current.Load(); p != nil {
		return p.loads
	}
	return nil
}

func (e *entryIncarnations) writer() *once.Writer {
	if p := e.current.Load(); p != nil {
		return p.writer
	}
	return nil
}

// Reserve implements entry.Budget.
func (e *entryIncarnations) Reserve(ctx context.Context, team string, tokens float64) (func(float64), error) {
	p := e.current.Load()
	if p == nil {
		return nil, errNotJoined()
	}
	r, err := p.holder.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return r.Settle, nil
}

// Wait implements entry.Queue.
func (e *entryIncarnations) Wait(ctx context.Context, t entry.Turn) (func(entry.Served), error) {
	p := e.current.Load()
	if p == nil {
		return nil, errNotJoined()
	}
	return p.gate.Wait(ctx, t)
}

// Do implements entry.Once.
func (e *entryIncarnations) Do(ctx context.Context, id once.CallID, digest once.Digest, d once.Dispatcher) (once.Result, error) {
	p := e.current.Load()
	if p == nil {
		return once.Result{}, errNotJoined()
	}
	return p.once.Do(ctx, id, digest, d)
}

// Status implements entry.Once.
func (e *entryIncarnations) Status(ctx context.Context, id once.CallID) (once.CallState, error) {
	p := e.current.Load()
	if p == nil {
		return once.CallState{}, errNotJoined()
	}
	return p.once.Status(ctx, id)
}

func errNotJoined() error {
	return errkind.New(errkind.ViewStale, "this instance has not joined the fleet yet")
}
