package residency

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const (
	// retryInitialInterval and retryMaxInterval bound the wait between two attempts
	// of a load that the weight store refused.
	retryInitialInterval = 100 * time.Millisecond
	retryMaxInterval     = 2 * time.Second
)

// runLoad runs a pending load to its end.
func (m *Manager) runLoad(ctx context.Context, r *replica, p *pendingLoad) {
	defer m.tasks.Done()
	select {
	case r.opLock <- struct{}{}:
		defer r.unlockOp()
	case <-ctx.Done():
		m.finishLoad(r, p, loadFailed(r.checkpoint, ctx.Err()))
		return
	}
	m.finishLoad(r, p, m.ensureLoaded(ctx, r, p))
}

// ensureLoaded loads r. The deadline of p bounds everything before the load order;
// once the order is sent, ensureLoaded waits for its outcome.
func (m *Manager) ensureLoaded(runCtx context.Context, r *replica, p *pendingLoad) error {
	ctx, cancel := context.WithDeadline(runCtx, p.request.Deadline)
	defer cancel()
	m.mu.Lock()
	p.cancel = cancel
	stopped := p.stopped
	m.mu.Unlock()
	if stopped {
		return deadlineUnmet(r.checkpoint, context.Canceled)
	}
	if err := m.settleEarlierOrder(ctx, r); err != nil {
		return err
	}
	if m.inState(r, loaded) {
		return nil
	}
	if r.base != "" {
		release, err := m.Acquire(ctx, r.base, p.request.Team, p.request.Deadline)
		if err != nil {
			return err
		}
		defer release()
	}
	m.hook(ctx, StepReserve, r.checkpoint)
	if err := m.reserve(ctx, r, p.noEvict); err != nil {
		return err
	}
	err := m.loadWithSlot(ctx, runCtx, r, p)
	if m.inState(r, queued) {
		m.transition(r, loadDropped)
	}
	return err
}

// settleEarlierOrder prepares r for a load after an earlier order. If the outcome of
// that order is unknown, it reads the engine's state. If r is loaded but may not stay
// so, it waits until r is idle and unloads it.
func (m *Manager) settleEarlierOrder(ctx context.Context, r *replica) error {
	if m.inState(r, unknown) {
		m.resolveOutcome(ctx, r)
	}
	if !m.inState(r, loaded) || m.mayStayLoaded(r) {
		return nil
	}
	for r.useCount() > 0 || m.presentAdapters(r) > 0 {
		if err := sleep(ctx, m.Config.PollInterval); err != nil {
			return deadlineUnmet(r.checkpoint, err)
		}
	}
	m.unload(ctx, r)
	return nil
}

func (m *Manager) loadWithSlot(ctx, runCtx context.Context, r *replica, p *pendingLoad) error {
	m.hook(ctx, StepSlot, r.checkpoint)
	m.mu.Lock()
	load := p.request
	m.mu.Unlock()
	done, err := m.Slots.Slot(ctx, load)
	if err != nil && ctx.Err() == nil {
		return loadFailed(r.checkpoint, err)
	}
	if err != nil {
		return deadlineUnmet(r.checkpoint, err)
	}
	defer done()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryInitialInterval, retryMaxInterval
	for {
		err := m.sendLoad(runCtx, r, load)
		if !errkind.Is(err, errkind.UpstreamBusy) {
			return err
		}
		if sleep(ctx, retry.NextBackOff()) != nil {
			return deadlineUnmet(r.checkpoint, err)
		}
	}
}

// sendLoad sends one load order and reads the engine's state. r stays queued if no
// order was sent, and unknown if its outcome could not be read.
func (m *Manager) sendLoad(runCtx context.Context, r *replica, load Load) error {
	ctx, cancel := context.WithTimeout(runCtx, m.Config.OrderTimeout)
	defer cancel()
	m.hook(ctx, StepCheck, r.checkpoint)
	fence, err := m.authorizeLoad(r.checkpoint)
	if err != nil {
		return err
	}
	s, err := m.spec(r.checkpoint)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.fire(r, orderLoad)
	r.version, r.value = s.version, s.value
	m.mu.Unlock()
	m.hook(ctx, StepLoadSend, r.checkpoint)
	err = m.Orders.Load(ctx, engine.LoadRequest{Checkpoint: r.checkpoint, Version: s.version, MemoryMiB: load.MemoryMiB, Fence: fence})
	m.setOrdersSettledAt(r)
	m.hook(ctx, StepLoadAnswer, r.checkpoint)
	m.transition(r, outcomeUnknown)
	if errkind.Is(err, errkind.UpstreamBusy) {
		return err
	}
	m.resolveOutcome(runCtx, r)
	m.hook(runCtx, StepLoadConfirm, r.checkpoint)
	if !m.inState(r, loaded) {
		return loadFailed(r.checkpoint, err)
	}
	return m.unloadIfNotHome(runCtx, r)
}

// unloadIfNotHome unloads a checkpoint whose home moved while it was loading.
func (m *Manager) unloadIfNotHome(ctx context.Context, r *replica) error {
	_, err := m.authorizeLoad(r.checkpoint)
	if errkind.Is(err, errkind.NotHome) {
		m.unload(ctx, r)
	}
	return err
}

// setOrdersSettledAt records that an order for r may reach the engine until
// OrderDelay from now.
func (m *Manager) setOrdersSettledAt(r *replica) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.ordersSettledAt = time.Now().Add(m.Config.OrderDelay)
}

func (m *Manager) inState(r *replica, s state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.state == s
}

func (m *Manager) transition(r *replica, t trigger) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fire(r, t)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
