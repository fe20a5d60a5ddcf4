package residency

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/engine"
)

// unload sends an unload order and reads the engine's state. The caller holds r's
// opLock. Afterwards r is absent, or unknown until a later snapshot shows that it
// is gone.
//
// A stale view does not prevent an unload: unloading breaks no invariant, and an
// agent with a stale view must be able to unload checkpoints that may have moved
// to other instances.
func (m *Manager) unload(runCtx context.Context, r *replica) {
	m.mu.Lock()
	if r.state != loaded && r.state != unknown {
		m.mu.Unlock()
		return
	}
	r.close()
	m.fire(r, orderUnload)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(runCtx), m.Config.OrderTimeout)
	defer cancel()
	m.hook(ctx, StepUnloadSend, r.checkpoint)
	_ = m.Orders.Unload(ctx, engine.UnloadRequest{Checkpoint: r.checkpoint, Fence: m.fencingToken(r.checkpoint)})
	m.hook(ctx, StepUnloadAnswer, r.checkpoint)
	m.transition(r, outcomeUnknown)
	m.resolveOutcome(ctx, r)
}

// raiseFence sends the current fencing token of a checkpoint that the engine does
// not hold, so that the engine refuses an earlier order that is still on its way.
// It sends nothing if the engine does not check fencing tokens or already has the
// token. It returns false if sending failed.
func (m *Manager) raiseFence(ctx context.Context, checkpoint string) bool {
	fence := uint64(m.fencingToken(checkpoint))
	if !m.checksFencing() || m.raisedFence(checkpoint) >= fence {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.Config.ReadTimeout)
	defer cancel()
	m.hook(ctx, StepFence, checkpoint)
	err := m.Orders.Unload(ctx, engine.UnloadRequest{Checkpoint: checkpoint, Fence: m.fencingToken(checkpoint)})
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raisedFences[checkpoint] = fence
	return true
}

func (m *Manager) raisedFence(checkpoint string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.raisedFences[checkpoint]
}
