package residency

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/engine"
)

// unload gives an unload order and reads the engine back. The caller holds
// r's op and has closed r. The replica ends as absent, or unknown until a
// later read-back shows that it is gone.
//
// An unload needs no young view: dropping a replica breaks no invariant, and an
// agent with an old view must be able to drop what may be decided elsewhere.
func (a *Account) unload(life context.Context, r *replica) {
	a.mu.Lock()
	if r.state != loaded && r.state != unknown {
		a.mu.Unlock()
		return
	}
	r.close()
	a.fire(r, evict)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(life), a.Config.OrderTimeout)
	defer cancel()
	a.hook(ctx, StepUnloadSend, r.checkpoint)
	_ = a.Orders.Unload(ctx, engine.UnloadRequest{Checkpoint: r.checkpoint, Fence: a.fence(r.checkpoint)})
	a.hook(ctx, StepUnloadAnswer, r.checkpoint)
	a.move(r, lost)
	a.resolve(ctx, r)
}

// raiseFence gives an engine that checks fencing the current number for a
// checkpoint that it does not hold, so that an order still under way from
// before loses.
func (a *Account) raiseFence(ctx context.Context, checkpoint string) bool {
	fence := uint64(a.fence(checkpoint))
	if !a.checksFencing() || a.fencedAt(checkpoint) >= fence {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, a.Config.ReadTimeout)
	defer cancel()
	a.hook(ctx, StepFence, checkpoint)
	err := a.Orders.Unload(ctx, engine.UnloadRequest{Checkpoint: checkpoint, Fence: a.fence(checkpoint)})
	if err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fenced[checkpoint] = fence
	return true
}

func (a *Account) fencedAt(checkpoint string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fenced[checkpoint]
}
