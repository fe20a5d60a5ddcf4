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

// BootObserver receives the engine's boot id, which changes whenever the engine
// restarts; *admit.Limiter implements it.
type BootObserver interface {
	Epoch() uint64
	Observe(epoch uint64, bootID string)
}

// Options holds the dependencies and settings of a Manager.
type Options struct {
	// Self is the agent's join record.
	Self    record.MemberJoin
	Views   ViewSource
	Slots   SlotProvider
	Records RecordAppender
	Orders  engine.CheckpointLoader
	// BootObserver receives each boot id that the engine reports; it may be nil.
	BootObserver BootObserver
	Config       Config
	Log          *zap.Logger
}

// Manager controls what the engine of one agent incarnation holds in memory. It
// reserves memory before each load order. It frees the memory only after a snapshot
// of the engine shows that the checkpoint is not held. If the outcome of a load order
// is unknown, that snapshot must be requested when the order can no longer arrive.
type Manager struct {
	Options
	homeRef   record.InstanceRef
	log       *zap.Logger
	hook      stepHook
	overrides ruleOverrides
	machine   *stateless.StateMachine

	// ready is closed after the first comparison with the engine, when orders of
	// earlier incarnations can no longer arrive.
	ready chan struct{}
	// replicas maps checkpoints to *replica; the request path only reads it.
	replicas sync.Map

	mu     sync.Mutex
	runCtx context.Context
	seq    uint64
	bootID string
	// engineMemoryMiB is the memory size that the engine reports; 0 before the first read.
	engineMemoryMiB int64
	// raisedFences maps a checkpoint to the highest fencing token that was sent to
	// the engine while the checkpoint was absent.
	raisedFences map[string]uint64
	tasks        sync.WaitGroup
}

// New returns a manager that loads nothing until Run has read the engine's state.
func New(o Options) *Manager {
	o.Config = o.Config.WithDefaults()
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Manager{
		Options:      o,
		homeRef:      record.InstanceRef{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation},
		log:          o.Log,
		hook:         noHook,
		machine:      newMachine(),
		ready:        make(chan struct{}),
		raisedFences: make(map[string]uint64),
	}
}

// Acquire waits until the checkpoint is loaded and counts a use until release is
// called, which must happen exactly once. It loads a checkpoint that is not
// loaded; concurrent calls share one load. Errors are of kind not_home, fenced,
// view_stale, memory_full, load_failed, deadline_unmet or draining; the request
// has not run after any of them.
func (m *Manager) Acquire(ctx context.Context, checkpoint, team string, deadline time.Time) (release func(), err error) {
	if _, err := m.authorizeLoad(checkpoint); err != nil {
		return nil, err
	}
	r := m.replica(checkpoint)
	if usesBefore, ok := r.tryUse(); ok {
		m.recordGap(r, usesBefore)
		return r.release, nil
	}
	return m.awaitLoad(ctx, r, team, deadline)
}

// Refresh compares all replicas with the engine's state at once. The agent calls
// it when the engine answers that a checkpoint is not loaded and when a connection
// breaks.
func (m *Manager) Refresh(ctx context.Context) error { return m.syncWithEngine(ctx) }

// recordGap records the gap that ends when an idle replica is used again.
func (m *Manager) recordGap(r *replica, usesBefore int64) {
	if usesBefore != 0 || r.idleTime() < time.Second {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.gaps.Record(r.idleTime())
}

func (m *Manager) endUse(r *replica) {
	if r.uses.Add(-1)&^closedFlag == 0 {
		r.idleSince.Store(time.Now().UnixNano())
	}
}

func (m *Manager) replica(checkpoint string) *replica {
	if r, ok := m.replicas.Load(checkpoint); ok {
		return r.(*replica)
	}
	r, _ := m.replicas.LoadOrStore(checkpoint, newReplica(m, checkpoint))
	return r.(*replica)
}

func (m *Manager) allReplicas() []*replica {
	var out []*replica
	m.replicas.Range(func(_, r any) bool {
		out = append(out, r.(*replica))
		return true
	})
	return out
}

// awaitLoad joins the pending load of r or starts one. If that load is stopped, or
// fails at an earlier deadline than the caller's, the caller starts another.
func (m *Manager) awaitLoad(ctx context.Context, r *replica, team string, deadline time.Time) (func(), error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-m.ready:
	case <-ctx.Done():
		return nil, deadlineUnmet(r.checkpoint, ctx.Err())
	}
	for {
		p, err := m.joinLoad(r, team, deadline)
		if err != nil {
			return nil, err
		}
		if p == nil {
			return r.release, nil
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			return m.abandonLoad(r, p, ctx.Err())
		}
		if p.err == nil {
			return r.release, nil
		}
		if !errkind.Is(p.err, errkind.DeadlineUnmet) || ctx.Err() != nil {
			return nil, p.err
		}
	}
}

// joinLoad returns the pending load of r with the caller counted as a waiter. It
// returns nil if r accepts uses, in which case the caller's use is counted.
func (m *Manager) joinLoad(r *replica, team string, deadline time.Time) (*pendingLoad, error) {
	s, err := m.spec(r.checkpoint)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := r.tryUse(); ok {
		return nil, nil
	}
	if r.pending == nil {
		if m.runCtx == nil || m.runCtx.Err() != nil {
			return nil, errkind.New(errkind.Draining, "agent "+m.homeRef.Instance+" has stopped")
		}
		if r.state == absent && r.idleSince.Load() != 0 {
			r.gaps.Record(r.idleTime())
		}
		r.pending = &pendingLoad{done: make(chan struct{}), request: newLoadRequest(r, s, team, deadline)}
		m.tasks.Add(1)
		go m.runLoad(m.runCtx, r, r.pending)
	}
	if r.pending.preemptible() {
		// Stop the preload. awaitLoad then starts a load that has the caller's deadline
		// and may evict.
		r.pending.stop()
	}
	r.pending.waiting++
	return r.pending, nil
}

// abandonLoad ends the wait of one caller; the load continues.
func (m *Manager) abandonLoad(r *replica, p *pendingLoad, cause error) (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ended && p.err == nil {
		m.endUse(r)
	}
	p.waiting--
	return nil, deadlineUnmet(r.checkpoint, cause)
}

// finishLoad ends the pending load. If it succeeded, each waiter owns one use.
func (m *Manager) finishLoad(r *replica, p *pendingLoad, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.ended, p.err = true, err
	r.pending = nil
	if err == nil {
		r.open(p.waiting, time.Now())
	}
	close(p.done)
}

func newLoadRequest(r *replica, s checkpointSpec, team string, deadline time.Time) Load {
	return Load{
		Checkpoint: r.checkpoint,
		Adapter:    r.base != "",
		Deadline:   deadline,
		Value:      s.value,
		Team:       team,
		MemoryMiB:  s.memoryMiB,
	}
}

func deadlineUnmet(checkpoint string, cause error) error {
	return errkind.Wrap(errkind.DeadlineUnmet, "checkpoint "+checkpoint+" was not loaded in time", cause)
}

func loadFailed(checkpoint string, cause error) error {
	return errkind.Wrap(errkind.LoadFailed, "checkpoint "+checkpoint, errors.WithStack(cause))
}
