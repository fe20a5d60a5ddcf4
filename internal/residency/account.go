package residency

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Boots learns the engine's boot id; *admit.Limiter implements it.
type Boots interface {
	Epoch() uint64
	Observe(epoch uint64, bootID string)
}

// Options are the parts that an Account works with.
type Options struct {
	// Self is the agent's join record.
	Self    record.MemberJoin
	Views   Views
	Slots   Slots
	Reports Reports
	Orders  engine.CheckpointLoader
	// Boots is told of each boot id; nil where nothing needs it.
	Boots  Boots
	Config Config
	Log    *zap.Logger
}

// Account is what one incarnation of an agent knows of its engine's memory.
// Memory is reserved before each load order and freed only after a read-back,
// sent when no order could still be on its way, shows that the checkpoint is
// not held.
type Account struct {
	Options
	self    record.HomeRef
	log     *zap.Logger
	hook    stepHook
	off     rules
	machine *stateless.StateMachine

	// ready is closed when the engine has been read and older orders have settled.
	ready chan struct{}
	// replicas maps checkpoints to *replica; the request path only reads it.
	replicas sync.Map

	mu     sync.Mutex
	life   context.Context
	seq    uint64
	bootID string
	// capacity is the engine's own statement of its memory, in MiB; 0 before the first read.
	capacity int64
	// fenced holds, by checkpoint, the highest fencing number given while absent.
	fenced map[string]uint64
	tasks  sync.WaitGroup
}

// New returns an account that takes no loads until Run has read the engine.
func New(o Options) *Account {
	o.Config = o.Config.WithDefaults()
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Account{
		Options: o,
		self:    record.HomeRef{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation},
		log:     o.Log,
		hook:    noHook,
		machine: newMachine(),
		ready:   make(chan struct{}),
		fenced:  make(map[string]uint64),
	}
}

// Acquire returns when the checkpoint is loaded and counts a use until release
// is called, which must happen exactly once. It loads an idle checkpoint, and
// concurrent calls share one load. Errors are of kind not_home, fenced,
// view_stale, memory_full, load_failed or deadline_unmet; the request has not
// run after any of them.
func (a *Account) Acquire(ctx context.Context, checkpoint, team string, deadline time.Time) (release func(), err error) {
	if _, err := a.authority(checkpoint); err != nil {
		return nil, err
	}
	r := a.replica(checkpoint)
	if before, ok := r.enter(); ok {
		a.used(r, before)
		return r.release, nil
	}
	return a.await(ctx, r, team, deadline)
}

// Refresh reads the engine back at once; the agent calls it when the engine
// answers that a checkpoint is not loaded or when a connection broke.
func (a *Account) Refresh(ctx context.Context) error { return a.sweepHeld(ctx) }

// used learns the gap that a use of an idle replica ends.
func (a *Account) used(r *replica, before int64) {
	if before != 0 || r.idle() < time.Second {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.warmth.Record(r.idle())
}

func (a *Account) leave(r *replica) {
	if r.uses.Add(-1)&^closedFlag == 0 {
		r.idleSince.Store(time.Now().UnixNano())
	}
}

func (a *Account) replica(checkpoint string) *replica {
	if r, ok := a.replicas.Load(checkpoint); ok {
		return r.(*replica)
	}
	r, _ := a.replicas.LoadOrStore(checkpoint, newReplica(a, checkpoint))
	return r.(*replica)
}

func (a *Account) all() []*replica {
	var out []*replica
	a.replicas.Range(func(_, r any) bool {
		out = append(out, r.(*replica))
		return true
	})
	return out
}

// await joins or starts the wake of r. A waiter that outlives a wake which
// ended at an earlier deadline starts another.
func (a *Account) await(ctx context.Context, r *replica, team string, deadline time.Time) (func(), error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-a.ready:
	case <-ctx.Done():
		return nil, unmet(r.checkpoint, ctx.Err())
	}
	for {
		w, err := a.join(r, team, deadline)
		if err != nil {
			return nil, err
		}
		if w == nil {
			return r.release, nil
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			return a.abandon(r, w, ctx.Err())
		}
		if w.err == nil {
			return r.release, nil
		}
		if !errkind.Is(w.err, errkind.DeadlineUnmet) || ctx.Err() != nil {
			return nil, w.err
		}
	}
}

// join returns the wake of r with the caller counted, or nil if r was open and
// the caller has entered it.
func (a *Account) join(r *replica, team string, deadline time.Time) (*wake, error) {
	s, err := a.spec(r.checkpoint)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := r.enter(); ok {
		return nil, nil
	}
	if r.wake == nil {
		if a.life == nil || a.life.Err() != nil {
			return nil, errkind.New(errkind.Draining, "agent "+a.self.Instance+" has stopped")
		}
		if r.state == absent && r.idleSince.Load() != 0 {
			r.warmth.Record(r.idle())
		}
		r.wake = &wake{done: make(chan struct{}), load: loadOf(r, s, team, deadline)}
		a.tasks.Add(1)
		go a.run(a.life, r, r.wake)
	}
	if r.wake.yields() {
		// The caller's own wake follows, with its deadline instead of spare capacity.
		r.wake.stop()
	}
	r.wake.waiting++
	return r.wake, nil
}

// abandon ends the wait of one caller; the load goes on.
func (a *Account) abandon(r *replica, w *wake, cause error) (func(), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.ended && w.err == nil {
		a.leave(r)
	}
	w.waiting--
	return nil, unmet(r.checkpoint, cause)
}

// finish ends the wake. After success the waiters own one use each.
func (a *Account) finish(r *replica, w *wake, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.ended, w.err = true, err
	r.wake = nil
	if err == nil {
		r.open(w.waiting, time.Now())
	}
	close(w.done)
}

func loadOf(r *replica, s spec, team string, deadline time.Time) Load {
	return Load{
		Checkpoint: r.checkpoint,
		Adapter:    r.base != "",
		Deadline:   deadline,
		Value:      s.value,
		Team:       team,
		MemoryMiB:  s.memory,
	}
}

func unmet(checkpoint string, cause error) error {
	return errkind.Wrap(errkind.DeadlineUnmet, "checkpoint "+checkpoint+" was not loaded in time", cause)
}

func failed(checkpoint string, cause error) error {
	return errkind.Wrap(errkind.LoadFailed, "checkpoint "+checkpoint, errors.WithStack(cause))
}
