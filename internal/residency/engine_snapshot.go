package residency

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/engine"
)

// engineSnapshot is the engine's answer to a state request, with what the manager
// knew when it sent the request.
type engineSnapshot struct {
	held engine.MemoryState
	// requestedAt is when the request was sent.
	requestedAt time.Time
	// seq is the manager's sequence number at that time. The snapshot is not applied
	// to replicas that changed later.
	seq uint64
	// byCheckpoint indexes held.Checkpoints.
	byCheckpoint map[string]engine.CheckpointState
}

// readEngine asks the engine which checkpoints it holds.
func (m *Manager) readEngine(ctx context.Context) (engineSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Config.ReadTimeout)
	defer cancel()
	m.mu.Lock()
	snap := engineSnapshot{requestedAt: time.Now(), seq: m.seq}
	m.mu.Unlock()
	var epoch uint64
	if m.BootObserver != nil {
		epoch = m.BootObserver.Epoch()
	}
	held, err := m.Orders.MemoryState(ctx)
	if err != nil {
		return snap, err
	}
	snap.held = held
	snap.byCheckpoint = make(map[string]engine.CheckpointState, len(held.Checkpoints))
	for _, c := range held.Checkpoints {
		snap.byCheckpoint[c.Checkpoint] = c
	}
	if m.BootObserver != nil {
		m.BootObserver.Observe(epoch, held.BootID)
	}
	m.recordBoot(held)
	return snap, nil
}

func (m *Manager) recordBoot(held engine.MemoryState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bootID != "" && m.bootID != held.BootID {
		m.log.Warn("engine has restarted", zap.String("boot_id", held.BootID))
		clear(m.raisedFences)
	}
	m.bootID = held.BootID
	m.engineMemoryMiB = held.MemoryMiB
}

// resolveOutcome reads the engine's state until r is known to be loaded or gone.
// The caller holds r's opLock. r stays unknown if a read fails, the engine is
// still loading the checkpoint, or ctx ends.
func (m *Manager) resolveOutcome(ctx context.Context, r *replica) {
	for {
		snap, err := m.readEngine(ctx)
		if err != nil {
			return
		}
		if m.applySnapshot(r, snap) {
			return
		}
		if sleep(ctx, m.Config.PollInterval) != nil {
			return
		}
	}
}

// applySnapshot applies a snapshot to a replica of unknown outcome. It returns false
// if the snapshot is too old to decide and another one is needed.
func (m *Manager) applySnapshot(r *replica, snap engineSnapshot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.state != unknown {
		return true
	}
	if r.changedSeq > snap.seq {
		return false
	}
	c, held := snap.byCheckpoint[r.checkpoint]
	switch {
	case held && c.Loading:
		return true
	case held:
		m.fire(r, loadConfirmed)
		r.version = c.Version
		r.reserved = max(r.reserved, c.MemoryMiB)
		r.idleSince.CompareAndSwap(0, time.Now().UnixNano())
		return true
	case snap.requestedAt.Before(r.ordersSettledAt) && !m.overrides.freeUnknown:
		return false
	default:
		m.fire(r, foundGone)
		return true
	}
}

// syncWithEngine compares all replicas with the engine's state.
func (m *Manager) syncWithEngine(ctx context.Context) error {
	snap, err := m.readEngine(ctx)
	if err != nil {
		return err
	}
	for _, c := range snap.held.Checkpoints {
		m.addHeld(c, snap)
	}
	for _, r := range m.allReplicas() {
		m.markMissing(r, snap)
	}
	return nil
}

// addHeld handles a checkpoint that the engine holds. If the manager had it as absent
// or unknown, it becomes loaded unless the engine is still loading it, and accepts
// requests again if it may stay loaded.
func (m *Manager) addHeld(c engine.CheckpointState, snap engineSnapshot) {
	r := m.replica(c.Checkpoint)
	if !r.tryLockOp() {
		return
	}
	defer r.unlockOp()
	m.mu.Lock()
	if r.state == absent && r.changedSeq <= snap.seq {
		m.fire(r, foundHeld)
		r.reserved, r.version = c.MemoryMiB, c.Version
		r.changedSeq = snap.seq
	}
	m.mu.Unlock()
	if m.inState(r, unknown) && m.applySnapshot(r, snap) && m.inState(r, loaded) {
		m.reopen(r)
	}
}

// reopen lets r accept requests again after a snapshot showed it loaded.
func (m *Manager) reopen(r *replica) {
	if !m.mayStayLoaded(r) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.pending == nil {
		r.open(0, time.Now())
	}
}

// markMissing marks r as absent if the engine no longer holds it because the
// engine evicted it or restarted (F5).
func (m *Manager) markMissing(r *replica, snap engineSnapshot) {
	if _, held := snap.byCheckpoint[r.checkpoint]; held || !r.tryLockOp() {
		return
	}
	defer r.unlockOp()
	m.mu.Lock()
	if r.state == loaded && r.changedSeq <= snap.seq {
		r.close()
		m.fire(r, foundGone)
		m.log.Info("engine no longer holds a checkpoint", zap.String("checkpoint", r.checkpoint))
	}
	m.mu.Unlock()
	m.applySnapshot(r, snap)
}
