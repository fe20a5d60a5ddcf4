package node

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/assignment"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/budget"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/entry"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fairqueue"
	"github.com/jacinthbend/jacinthbend/internal/loadqueue"
)

// sweepInterval is the interval at which an entry instance drops the state of
// budget shares that it lost, and of teams and upstreams that are gone or idle.
const sweepInterval = time.Minute

// entryState is the state that lives as long as one incarnation of an entry
// instance. It reads the queue limits and the idempotency window from the
// configuration only once, when the instance joins.
type entryState struct {
	budgetTracker *budget.Tracker
	budgetOwner   *budget.Owner
	budgetHolder  *budget.Holder
	onceWriter    *atmostonce.Writer
	onceClient    *atmostonce.Client
	loadOwner     *loadqueue.Owner
	limiter       *dispatchLimiter
}

func newEntryState(ctx context.Context, f *fleet, m controlstate.Member) (*entryState, error) {
	budgetOptions := budget.Options{Self: m.Incarnation}
	s := &entryState{budgetTracker: budget.NewTracker(0)}
	s.budgetOwner = budget.NewOwner(budgetOptions, f, s.budgetTracker)
	s.budgetHolder = budget.NewHolder(budgetOptions, f, s.budgetTracker, s.budgetOwner, f.peers)
	limits := f.View().Limits.WithDefaults()
	onceOptions := atmostonce.Options{IdempotencyWindow: time.Duration(limits.IdempotencyWindowS) * time.Second}
	s.onceWriter = atmostonce.NewWriter(f.log, f, m.Ref(), onceOptions, rand.Reader)
	s.onceClient = atmostonce.NewClient(m.Ref(), f, f.peers, f.peers, onceOptions, rand.Reader)
	s.limiter = newDispatchLimiter(fairqueue.New(fairqueue.Options{Limit: limits.QueueRequests, BulkShare: limits.BulkShare}), f.teamWeight)
	s.loadOwner = loadqueue.NewOwner(m.Ref(), f)
	planner := &assignment.Planner{Self: m.Ref(), Views: f, Log: recordAppender{f}, Logger: f.logger}
	go s.onceWriter.Run(ctx)
	go planner.Run(ctx)
	go every(ctx, sweepInterval, s.sweep)
	return s, nil
}

func (s *entryState) sweep() {
	s.budgetOwner.Sweep()
	s.budgetHolder.Sweep()
	s.limiter.queue.Sweep()
}

// every calls do once per interval until ctx ends.
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

// scopedEntryState holds the entryState of the current incarnation. Before the
// instance has joined, its methods return nil or fail with errNotJoined.
type scopedEntryState struct {
	incarnationScoped[entryState]
}

func (e *scopedEntryState) budgetOwner() *budget.Owner {
	if s := e.current.Load(); s != nil {
		return s.budgetOwner
	}
	return nil
}

func (e *scopedEntryState) loadOwner() *loadqueue.Owner {
	if s := e.current.Load(); s != nil {
		return s.loadOwner
	}
	return nil
}

func (e *scopedEntryState) onceWriter() *atmostonce.Writer {
	if s := e.current.Load(); s != nil {
		return s.onceWriter
	}
	return nil
}

// Reserve implements entry.Budget.
func (e *scopedEntryState) Reserve(ctx context.Context, team string, tokens float64) (func(float64), error) {
	s := e.current.Load()
	if s == nil {
		return nil, errNotJoined()
	}
	r, err := s.budgetHolder.Reserve(ctx, team, tokens)
	if err != nil {
		return nil, err
	}
	return r.Settle, nil
}

// Wait implements entry.Queue.
func (e *scopedEntryState) Wait(ctx context.Context, r entry.QueuedRequest) (func(entry.DispatchResult), error) {
	s := e.current.Load()
	if s == nil {
		return nil, errNotJoined()
	}
	return s.limiter.Wait(ctx, r)
}

// Do implements entry.Once.
func (e *scopedEntryState) Do(ctx context.Context, id atmostonce.CallID, digest atmostonce.Digest, d atmostonce.Dispatcher) (atmostonce.Result, error) {
	s := e.current.Load()
	if s == nil {
		return atmostonce.Result{}, errNotJoined()
	}
	return s.onceClient.Do(ctx, id, digest, d)
}

// Status implements entry.Once.
func (e *scopedEntryState) Status(ctx context.Context, id atmostonce.CallID) (atmostonce.CallState, error) {
	s := e.current.Load()
	if s == nil {
		return atmostonce.CallState{}, errNotJoined()
	}
	return s.onceClient.Status(ctx, id)
}

func errNotJoined() error {
	return errkind.New(errkind.ViewStale, "this instance has not joined the fleet yet")
}
