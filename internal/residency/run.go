package residency

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/record"
)

// reportInterval is the time after which a release is reported again if the view
// does not show it yet.
const reportInterval = 3 * time.Second

// Run waits until orders of earlier incarnations can no longer reach the engine, and
// reads the engine's state. It then reconciles the engine with the view until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	defer m.tasks.Wait()
	if m.initialize(ctx) != nil {
		return
	}
	close(m.ready)
	reported := make(map[string]time.Time)
	for sleep(ctx, m.Config.ReconcileInterval) == nil {
		m.reconcile(ctx, reported)
	}
}

// initialize reads what the engine holds. An earlier incarnation may have sent an
// order that has not arrived yet. So initialize first raises the fencing tokens,
// then waits for OrderDelay, and only then reads the state that it uses.
func (m *Manager) initialize(ctx context.Context) error {
	if err := m.pollUntil(ctx, func() bool { return m.viewFresh() && m.isCurrentIncarnation() }); err != nil {
		return err
	}
	if err := m.pollUntil(ctx, func() bool { return m.fenceAbsentCheckpoints(ctx) }); err != nil {
		return err
	}
	if err := sleep(ctx, m.Config.OrderDelay); err != nil {
		return err
	}
	return m.pollUntil(ctx, func() bool { return m.syncWithEngine(ctx) == nil })
}

// fenceAbsentCheckpoints raises the engine's fencing tokens of the assigned
// checkpoints that the engine does not hold, and reports whether that succeeded.
func (m *Manager) fenceAbsentCheckpoints(ctx context.Context) bool {
	snap, err := m.readEngine(ctx)
	if err != nil {
		return false
	}
	for _, cp := range m.assigned() {
		if _, held := snap.byCheckpoint[cp]; !held && !m.raiseFence(ctx, cp) {
			return false
		}
	}
	return true
}

// pollUntil calls done every PollInterval until it returns true or ctx ends.
func (m *Manager) pollUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if err := sleep(ctx, m.Config.PollInterval); err != nil {
			return err
		}
	}
	return nil
}

// assigned lists the checkpoints of which this instance is an active or a
// releasing home.
func (m *Manager) assigned() []string {
	list, _ := m.Views.View().CheckpointsByInstance.Get(m.homeRef.Instance)
	return list
}

func (m *Manager) reconcile(ctx context.Context, reported map[string]time.Time) {
	if err := m.syncWithEngine(ctx); err != nil {
		m.log.Warn("could not read which checkpoints the engine holds", zap.Error(err))
	}
	m.unloadUnneeded(ctx)
	m.preload()
	m.reportReleased(ctx, reported)
}

// unloadUnneeded unloads the replicas that the view no longer allows and those that
// are idle outside their keep-warm windows. If the view is older than
// SelfUnloadAfter, it unloads all idle replicas. It interrupts no request.
func (m *Manager) unloadUnneeded(ctx context.Context) {
	age := m.Views.Age()
	fresh := m.viewFresh()
	// A replaced incarnation sends no orders; the new one manages the engine.
	if fresh && !m.isCurrentIncarnation() {
		return
	}
	replicas := m.allReplicas()
	// Adapters are unloaded before their base models.
	slices.SortFunc(replicas, func(x, y *replica) int { return len(y.base) - len(x.base) })
	for _, r := range replicas {
		if m.mustUnload(r, fresh) {
			r.close()
		} else if age <= m.Config.SelfUnloadAfter && !m.expired(r) {
			continue
		}
		m.unloadIdle(ctx, r)
	}
}

// mustUnload reports whether r must accept no further requests.
func (m *Manager) mustUnload(r *replica, fresh bool) bool {
	return fresh && m.inState(r, loaded) && !m.mayStayLoaded(r)
}

// expired reports whether r is idle outside its keep-warm window.
func (m *Manager) expired(r *replica) bool {
	if m.keptByMinReplicas(r) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.state == loaded && !m.window(r).KeepsLoaded(r.idleTime())
}

// window returns the keep-warm window of r; the caller holds m.mu.
func (m *Manager) window(r *replica) KeepWarmWindow {
	return r.gaps.Window(m.Config.KeepWarm, m.Config.ColdStartCost)
}

// keptByMinReplicas reports whether r must stay loaded because of the configured
// minimum of replicas. The first minReplicas active homes keep a checkpoint loaded.
func (m *Manager) keptByMinReplicas(r *replica) bool {
	s, err := m.spec(r.checkpoint)
	if err != nil || s.minReplicas == 0 {
		return false
	}
	homes, _ := m.Views.View().Homes.Get(r.checkpoint)
	i := slices.Index(homes.Active, m.homeRef)
	return i >= 0 && i < s.minReplicas
}

func (m *Manager) unloadIdle(ctx context.Context, r *replica) {
	if !r.tryLockOp() {
		return
	}
	defer r.unlockOp()
	if m.presentAdapters(r) > 0 || !(m.inState(r, loaded) && r.closeIfIdle()) {
		return
	}
	m.unload(ctx, r)
}

// preload starts to load the replicas that the configured minimum keeps loaded,
// and those whose next use is due.
func (m *Manager) preload() {
	if !m.Views.MayWork() || !m.isCurrentIncarnation() {
		return
	}
	for _, cp := range m.assigned() {
		r := m.replica(cp)
		keptByMin := m.keptByMinReplicas(r)
		if _, err := m.authorizeLoad(cp); err == nil && (keptByMin || m.reloadDue(r)) {
			m.startPreload(r, !keptByMin)
		}
	}
}

// reloadDue reports whether the next use of r is due. It returns true once per
// idle period, so that an eviction does not cause another planned reload.
func (m *Manager) reloadDue(r *replica) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := r.idleSince.Load()
	if r.state != absent || since == 0 || r.lastReloadIdleSince == since || !m.window(r).ReloadDue(r.idleTime()) {
		return false
	}
	r.lastReloadIdleSince = since
	return true
}

// startPreload starts a load that no request waits for. With noEvict the load
// uses only free memory.
func (m *Manager) startPreload(r *replica, noEvict bool) {
	s, err := m.spec(r.checkpoint)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.pending != nil || r.state != absent || m.runCtx.Err() != nil {
		return
	}
	r.pending = &pendingLoad{done: make(chan struct{}), noEvict: noEvict, request: newLoadRequest(r, s, "", time.Now().Add(m.Config.OrderTimeout))}
	r.pending.request.Preload = true
	m.tasks.Add(1)
	go m.runLoad(m.runCtx, r, r.pending)
}

// reportReleased reports the checkpoints that this instance has to release and
// that its engine no longer holds.
func (m *Manager) reportReleased(ctx context.Context, reported map[string]time.Time) {
	fresh := m.viewFresh()
	v := m.Views.View()
	if !fresh || !m.isCurrentIncarnation() {
		return
	}
	var out []string
	for _, cp := range m.assigned() {
		homes, _ := v.Homes.Get(cp)
		if !slices.Contains(homes.Releasing, m.homeRef) {
			delete(reported, cp)
			continue
		}
		if time.Since(reported[cp]) < reportInterval || !m.isReleased(ctx, cp) {
			continue
		}
		out = append(out, cp)
		reported[cp] = time.Now()
	}
	if len(out) == 0 {
		return
	}
	m.hook(ctx, StepReport, out[0])
	err := m.Records.Append(ctx, record.PlaceReleased{AsOf: v.Offset, Home: m.homeRef, Checkpoints: out})
	m.hook(ctx, StepReported, out[0])
	if err != nil {
		m.log.Warn("could not confirm that the release was recorded", zap.Error(err))
	}
}

// isReleased reports whether the engine no longer holds the checkpoint and no
// order for it is in progress. It also raises the engine's fencing token.
func (m *Manager) isReleased(ctx context.Context, checkpoint string) bool {
	if m.overrides.reportBeforeUnload {
		return true
	}
	r := m.replica(checkpoint)
	if !r.tryLockOp() {
		return false
	}
	defer r.unlockOp()
	return m.inState(r, absent) && m.raiseFence(ctx, checkpoint)
}
