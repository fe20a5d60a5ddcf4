package residency

import (
	"context"

	"github.com/qmuntal/stateless"
	"go.uber.org/zap"
)

// state is the state of one checkpoint at the engine, as far as the agent knows.
type state string

const (
	absent    state = "absent"
	queued    state = "queued"
	loading   state = "loading"
	loaded    state = "loaded"
	unloading state = "unloading"
	// unknown means that an order may or may not have taken effect. The memory
	// stays reserved.
	unknown state = "unknown"
)

type trigger string

const (
	// want: a wake has reserved memory.
	want trigger = "want"
	// dropped: a wake ended before its order.
	dropped trigger = "dropped"
	// order: a load order is about to be written.
	order trigger = "order"
	// confirmed: the read-back shows the checkpoint loaded.
	confirmed trigger = "confirmed"
	// lost: the outcome of an order is open.
	lost trigger = "lost"
	// evict: an unload order is about to be written.
	evict trigger = "evict"
	// gone: a read-back shows that the checkpoint is not held.
	gone trigger = "gone"
	// seen: a read-back shows a checkpoint that the account had as absent.
	seen trigger = "seen"
)

type replicaKey struct{}

// newMachine returns the state machine that all replicas share. The replica
// travels in the context, so that 13,000 checkpoints need one machine.
func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) {
			return ctx.Value(replicaKey{}).(*replica).state, nil
		},
		func(ctx context.Context, s stateless.State) error {
			ctx.Value(replicaKey{}).(*replica).state = s.(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(absent).Permit(want, queued).Permit(seen, unknown)
	m.Configure(queued).Permit(order, loading).Permit(dropped, absent)
	m.Configure(loading).Permit(confirmed, loaded).Permit(lost, unknown)
	m.Configure(loaded).Permit(evict, unloading).Permit(gone, absent)
	m.Configure(unloading).Permit(gone, absent).Permit(lost, unknown)
	m.Configure(unknown).Permit(order, loading).Permit(confirmed, loaded).Permit(evict, unloading).Permit(gone, absent)
	return m
}

// fire moves r; the caller holds a.mu. A trigger that the state does not
// permit is a fault of this package.
func (a *Manager) fire(r *replica, t trigger) {
	ctx := context.WithValue(context.Background(), replicaKey{}, r)
	if err := a.machine.FireCtx(ctx, t); err != nil {
		a.log.DPanic("state machine refused a trigger", zap.String("checkpoint", r.checkpoint), zap.Error(err))
		return
	}
	a.seq++
	r.changed = a.seq
	if r.state == absent {
		r.reserved = 0
	}
}
