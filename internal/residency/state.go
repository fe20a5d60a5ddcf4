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

// trigger is an event that moves a replica to another state.
type trigger string

const (
	// wantLoad: memory for a load has been reserved.
	wantLoad trigger = "want"
	// loadDropped: a load ended before its order was sent.
	loadDropped trigger = "dropped"
	// orderLoad: a load order is about to be sent.
	orderLoad trigger = "order"
	// loadConfirmed: a snapshot of the engine shows the checkpoint loaded.
	loadConfirmed trigger = "confirmed"
	// outcomeUnknown: an order ended and its outcome is not known yet.
	outcomeUnknown trigger = "lost"
	// orderUnload: an unload order is about to be sent.
	orderUnload trigger = "evict"
	// foundGone: a snapshot shows that the engine does not hold the checkpoint.
	foundGone trigger = "gone"
	// foundHeld: a snapshot shows a checkpoint that the manager had as absent.
	foundHeld trigger = "seen"
)

type replicaKey struct{}

// newMachine returns the state machine that all replicas share. Each call carries
// its replica in the context, so that 13,000 checkpoints need only one machine.
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
	m.Configure(absent).Permit(wantLoad, queued).Permit(foundHeld, unknown)
	m.Configure(queued).Permit(orderLoad, loading).Permit(loadDropped, absent)
	m.Configure(loading).Permit(loadConfirmed, loaded).Permit(outcomeUnknown, unknown)
	m.Configure(loaded).Permit(orderUnload, unloading).Permit(foundGone, absent)
	m.Configure(unloading).Permit(foundGone, absent).Permit(outcomeUnknown, unknown)
	m.Configure(unknown).Permit(orderLoad, loading).Permit(loadConfirmed, loaded).Permit(orderUnload, unloading).Permit(foundGone, absent)
	return m
}

// fire applies a trigger to r; the caller holds m.mu. A trigger that the state
// does not permit is a bug in this package.
func (m *Manager) fire(r *replica, t trigger) {
	ctx := context.WithValue(context.Background(), replicaKey{}, r)
	if err := m.machine.FireCtx(ctx, t); err != nil {
		m.log.DPanic("state machine refused a trigger", zap.String("checkpoint", r.checkpoint), zap.Error(err))
		return
	}
	m.seq++
	r.changedSeq = m.seq
	if r.state == absent {
		r.reserved = 0
	}
}
