package residency

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// reportEvery is the time after which a release that the view does not show
// yet is reported again.
const reportEvery = 3 * time.Second

// Run reads the engine, lets orders of an earlier incarnation settle, and then
// keeps the account in step with engine and view until ctx ends.
func (a *Account) Run(ctx context.Context) {
	a.mu.Lock()
	a.life = ctx
	a.mu.Unlock()
	defer a.tasks.Wait()
	if a.start(ctx) != nil {
		return
	}
	close(a.ready)
	reported := make(map[string]time.Time)
	for sleep(ctx, a.Config.SweepInterval) == nil {
		a.sweep(ctx, reported)
	}
}

// start reads what the engine holds. An earlier incarnation may have written
// an order that has not arrived yet, so the read that counts is sent OrderDelay
// later, after the fencing numbers have been raised.
func (a *Account) start(ctx context.Context) error {
	if err := a.until(ctx, func() bool { return a.fresh() && a.alive() }); err != nil {
		return err
	}
	if err := a.until(ctx, func() bool { return a.fenceAbsent(ctx) }); err != nil {
		return err
	}
	if err := sleep(ctx, a.Config.OrderDelay); err != nil {
		return err
	}
	return a.until(ctx, func() bool { return a.sweepHeld(ctx) == nil })
}

// fenceAbsent raises the fencing numbers of the assigned checkpoints that the
// engine does not hold.
func (a *Account) fenceAbsent(ctx context.Context) bool {
	b, err := a.read(ctx)
	if err != nil {
		return false
	}
	for _, cp := range a.assigned() {
		if _, held := b.byName[cp]; !held && !a.raiseFence(ctx, cp) {
			return false
		}
	}
	return true
}

// until calls done every Poll until it succeeds or ctx ends.
func (a *Account) until(ctx context.Context, done func() bool) error {
	for !done() {
		if err := sleep(ctx, a.Config.Poll); err != nil {
			return err
		}
	}
	return nil
}

// assigned lists the checkpoints that have this instance as active or
// releasing home.
func (a *Account) assigned() []string {
	list, _ := a.Views.View().CheckpointsByInstance.Get(a.self.Instance)
	return list
}

func (a *Account) sweep(ctx context.Context, reported map[string]time.Time) {
	if err := a.sweepHeld(ctx); err != nil {
		a.log.Warn("engine does not say what it holds", zap.Error(err))
	}
	a.unloadUnwanted(ctx)
	a.preload()
	a.reportReleased(ctx, reported)
}

// unloadUnwanted drops, without interrupting a request, what the view no
// longer lets the agent hold and what has been idle for long enough.
func (a *Account) unloadUnwanted(ctx context.Context) {
	age := a.Views.Age()
	fresh := a.fresh()
	// A replaced incarnation gives no orders; its successor looks after the engine.
	if fresh && !a.alive() {
		return
	}
	replicas := a.all()
	// Adapters go before their base models.
	slices.SortFunc(replicas, func(x, y *replica) int { return len(y.base) - len(x.base) })
	for _, r := range replicas {
		if a.mustGo(r, fresh) {
			r.close()
		} else if age <= a.Config.SelfUnloadAfter && !a.expired(r) {
			continue
		}
		a.unloadIdle(ctx, r)
	}
}

// mustGo reports whether r may take no further requests.
func (a *Account) mustGo(r *replica, fresh bool) bool {
	return fresh && a.is(r, loaded) && !a.wanted(r)
}

// expired reports whether r is idle outside the window that it has learned.
func (a *Account) expired(r *replica) bool {
	if a.keptLoaded(r) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.state == loaded && !a.window(r).Holds(r.idle())
}

// window returns the learned window of r; the caller holds a.mu.
func (a *Account) window(r *replica) Window {
	return r.warmth.Window(a.Config.KeepWarm, a.Config.ColdPrice)
}

// keptLoaded reports whether r is among the replicas that the configured
// minimum keeps loaded: those of the first homes.
func (a *Account) keptLoaded(r *replica) bool {
	s, err := a.spec(r.checkpoint)
	if err != nil || s.minReplicas == 0 {
		return false
	}
	homes, _ := a.Views.View().Homes.Get(r.checkpoint)
	i := slices.Index(homes.Active, a.self)
	return i >= 0 && i < s.minReplicas
}

func (a *Account) unloadIdle(ctx context.Context, r *replica) {
	if !r.tryOp() {
		return
	}
	defer r.endOp()
	if a.children(r) > 0 || !(a.is(r, loaded) && r.closeIdle()) {
		return
	}
	a.unload(ctx, r)
}

// preload wakes the replicas that the configured minimum keeps loaded, and
// those whose next use is due.
func (a *Account) preload() {
	if !a.Views.MayWork() || !a.alive() {
		return
	}
	for _, cp := range a.assigned() {
		r := a.replica(cp)
		kept := a.keptLoaded(r)
		if _, err := a.authority(cp); err == nil && (kept || a.dueReload(r)) {
			a.startPreload(r, !kept)
		}
	}
}

// dueReload reports whether the next use of r is due. Each idle time has one
// planned reload, so that evictions do not cause another.
func (a *Account) dueReload(r *replica) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := r.idleSince.Load()
	if r.state != absent || since == 0 || r.reloaded == since || !a.window(r).DueReload(r.idle()) {
		return false
	}
	r.reloaded = since
	return true
}

// startPreload starts a wake that no request waits for. A spare one evicts nothing.
func (a *Account) startPreload(r *replica, spare bool) {
	s, err := a.spec(r.checkpoint)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.wake != nil || r.state != absent || a.life.Err() != nil {
		return
	}
	r.wake = &wake{done: make(chan struct{}), spare: spare, load: loadOf(r, s, "", time.Now().Add(a.Config.OrderTimeout))}
	r.wake.load.Preload = true
	a.tasks.Add(1)
	go a.run(a.life, r, r.wake)
}

// reportReleased reports the checkpoints of which the agent is a former home
// and which its engine holds no more.
func (a *Account) reportReleased(ctx context.Context, reported map[string]time.Time) {
	fresh := a.fresh()
	v := a.Views.View()
	if !fresh || !a.alive() {
		return
	}
	var out []string
	for _, cp := range a.assigned() {
		homes, _ := v.Homes.Get(cp)
		if !slices.Contains(homes.Releasing, a.self) {
			delete(reported, cp)
			continue
		}
		if time.Since(reported[cp]) < reportEvery || !a.releasable(ctx, cp) {
			continue
		}
		out = append(out, cp)
		reported[cp] = time.Now()
	}
	if len(out) == 0 {
		return
	}
	a.hook(ctx, StepReport, out[0])
	err := a.Reports.Append(ctx, record.PlaceReleased{AsOf: v.Offset, Home: a.self, Checkpoints: out})
	a.hook(ctx, StepReported, out[0])
	if err != nil {
		a.log.Warn("release is not known to be recorded", zap.Error(err))
	}
}

// releasable reports whether the engine holds the checkpoint no more and no
// order for it is under way.
func (a *Account) releasable(ctx context.Context, checkpoint string) bool {
	if a.off.reportEarly {
		return true
	}
	r := a.replica(checkpoint)
	if !r.tryOp() {
		return false
	}
	defer r.endOp()
	return a.is(r, absent) && a.raiseFence(ctx, checkpoint)
}
