package residency

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

const (
	// retryFirst and retryMost bound the wait between two tries of a load that
	// the weight store refused.
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// run performs one wake.
func (a *Account) run(ctx context.Context, r *replica, w *wake) {
	defer a.tasks.Done()
	select {
	case r.op <- struct{}{}:
		defer r.endOp()
	case <-ctx.Done():
		a.finish(r, w, failed(r.checkpoint, ctx.Err()))
		return
	}
	a.finish(r, w, a.wakeUp(ctx, r, w))
}

// wakeUp brings r to loaded. The deadline of the wake bounds everything up to
// the load order; an order that was written is followed to its end.
func (a *Account) wakeUp(life context.Context, r *replica, w *wake) error {
	ctx, cancel := context.WithDeadline(life, w.load.Deadline)
	defer cancel()
	a.mu.Lock()
	w.cancel = cancel
	stopped := w.stopped
	a.mu.Unlock()
	if stopped {
		return unmet(r.checkpoint, context.Canceled)
	}
	if err := a.settle(ctx, r); err != nil {
		return err
	}
	if a.is(r, loaded) {
		return nil
	}
	if r.base != "" {
		release, err := a.Acquire(ctx, r.base, w.load.Team, w.load.Deadline)
		if err != nil {
			return err
		}
		defer release()
	}
	a.hook(ctx, StepReserve, r.checkpoint)
	if err := a.reserve(ctx, r, w.spare); err != nil {
		return err
	}
	err := a.loadWithSlot(ctx, life, r, w)
	if a.is(r, queued) {
		a.move(r, dropped)
	}
	return err
}

// settle deals with what an earlier order left: a replica that is loaded but
// closed is reopened or unloaded, one of unknown outcome is read back.
func (a *Account) settle(ctx context.Context, r *replica) error {
	if a.is(r, unknown) {
		a.resolve(ctx, r)
	}
	if !a.is(r, loaded) || a.wanted(r) {
		return nil
	}
	for r.inUse() > 0 || a.children(r) > 0 {
		if err := sleep(ctx, a.Config.Poll); err != nil {
			return unmet(r.checkpoint, err)
		}
	}
	a.unload(ctx, r)
	return nil
}

func (a *Account) loadWithSlot(ctx, life context.Context, r *replica, w *wake) error {
	a.hook(ctx, StepSlot, r.checkpoint)
	a.mu.Lock()
	load := w.load
	a.mu.Unlock()
	done, err := a.Slots.Slot(ctx, load)
	if err != nil && ctx.Err() == nil {
		return failed(r.checkpoint, err)
	}
	if err != nil {
		return unmet(r.checkpoint, err)
	}
	defer done()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryFirst, retryMost
	for {
		err := a.load(life, r, load)
		if !errkind.Is(err, errkind.UpstreamBusy) {
			return err
		}
		if sleep(ctx, retry.NextBackOff()) != nil {
			return unmet(r.checkpoint, err)
		}
	}
}

// load gives one load order and reads the engine back. The replica ends as
// loaded or unknown; it stays queued if no order was written.
func (a *Account) load(life context.Context, r *replica, load Load) error {
	ctx, cancel := context.WithTimeout(life, a.Config.OrderTimeout)
	defer cancel()
	a.hook(ctx, StepCheck, r.checkpoint)
	fence, err := a.authority(r.checkpoint)
	if err != nil {
		return err
	}
	s, err := a.spec(r.checkpoint)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.fire(r, order)
	r.version, r.value = s.version, s.value
	a.mu.Unlock()
	a.hook(ctx, StepLoadSend, r.checkpoint)
	err = a.Orders.Load(ctx, engine.LoadRequest{Checkpoint: r.checkpoint, Version: s.version, MemoryMiB: load.MemoryMiB, Fence: fence})
	a.quietFrom(r)
	a.hook(ctx, StepLoadAnswer, r.checkpoint)
	a.move(r, lost)
	if errkind.Is(err, errkind.UpstreamBusy) {
		return err
	}
	a.resolve(life, r)
	a.hook(life, StepLoadConfirm, r.checkpoint)
	if !a.is(r, loaded) {
		return failed(r.checkpoint, err)
	}
	return a.keepIfHome(life, r)
}

// keepIfHome unloads a checkpoint whose home moved while it was loading.
func (a *Account) keepIfHome(ctx context.Context, r *replica) error {
	_, err := a.authority(r.checkpoint)
	if errkind.Is(err, errkind.NotHome) {
		a.unload(ctx, r)
	}
	return err
}

// quietFrom notes that an order to r may reach the engine until OrderDelay from now.
func (a *Account) quietFrom(r *replica) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.quietAt = time.Now().Add(a.Config.OrderDelay)
}

func (a *Account) is(r *replica, s state) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.state == s
}

func (a *Account) move(r *replica, t trigger) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fire(r, t)
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
