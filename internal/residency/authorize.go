package residency

import (
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
)

// baseOf returns the base model of an adapter's checkpoint, or an empty string
// for a base model.
func baseOf(checkpoint string) string {
	base, _, isAdapter := strings.Cut(checkpoint, ":")
	if !isAdapter {
		return ""
	}
	return base
}

// authorizeLoad returns the fencing token with which the agent may load the
// checkpoint now. It returns an error if the view is stale, this incarnation has
// been replaced, or the agent is not a home of the checkpoint.
func (m *Manager) authorizeLoad(checkpoint string) (backing.Offset, error) {
	if m.overrides.skipViewCheck {
		return m.fencingToken(checkpoint), nil
	}
	if !m.Views.MayWork() {
		return 0, errkind.New(errkind.ViewStale, "agent "+m.homeRef.Instance+" has an outdated view")
	}
	if !m.isCurrentIncarnation() {
		return 0, errkind.New(errkind.Fenced, "this incarnation of agent "+m.homeRef.Instance+" has been replaced")
	}
	homes, _ := m.Views.View().Homes.Get(checkpoint)
	if !homes.HasActive(m.homeRef) {
		return 0, errkind.New(errkind.NotHome, m.homeRef.Instance+" is not a home of "+checkpoint)
	}
	return m.fencingToken(checkpoint), nil
}

// viewFresh reports whether the view is recent enough to release checkpoints that
// moved to other instances. Unlike MayWork it can be true while the data centre is
// configured as out: an agent there loads nothing, but it must still release its
// checkpoints, because no other instance can load them before.
func (m *Manager) viewFresh() bool { return m.Views.Age() <= freshness.ViewBound }

// isCurrentIncarnation reports whether the view shows this incarnation as the
// live one of its instance.
func (m *Manager) isCurrentIncarnation() bool {
	member, ok := m.Views.View().Members.Get(m.homeRef.Instance)
	return ok && member.Incarnation == m.homeRef.Incarnation
}

// fencingToken returns the fencing token of an order: the offset of the record
// that set the homes or of the record by which this incarnation joined, whichever
// is later. The join counts because a new incarnation takes over homes without a
// new homes record, and the engine must refuse orders of the earlier incarnation
// after those of the new one.
func (m *Manager) fencingToken(checkpoint string) backing.Offset {
	if m.overrides.zeroFence {
		return 0
	}
	v := m.Views.View()
	homes, _ := v.Homes.Get(checkpoint)
	member, ok := v.Members.Get(m.homeRef.Instance)
	if !ok || member.Incarnation != m.homeRef.Incarnation {
		return homes.Offset
	}
	return max(homes.Offset, member.JoinOffset)
}

// mayStayLoaded reports whether the view allows r to stay loaded: this incarnation
// is a home of r and, for an adapter, of its base model, and the loaded version is
// the configured one.
func (m *Manager) mayStayLoaded(r *replica) bool {
	homes, _ := m.Views.View().Homes.Get(r.checkpoint)
	if !homes.HasActive(m.homeRef) {
		return false
	}
	if r.base != "" {
		base, _ := m.Views.View().Homes.Get(r.base)
		if !base.HasActive(m.homeRef) {
			return false
		}
	}
	s, err := m.spec(r.checkpoint)
	return err == nil && s.version == r.version
}

// spec returns the configuration of the checkpoint.
func (m *Manager) spec(checkpoint string) (checkpointSpec, error) {
	v := m.Views.View()
	modelID, adapterID, isAdapter := strings.Cut(checkpoint, ":")
	model, ok := v.Models.Get(modelID)
	if !ok {
		return checkpointSpec{}, errkind.New(errkind.NotHome, "checkpoint "+checkpoint+" is not configured")
	}
	pool, _ := v.Pools.Get(model.Pool)
	s := checkpointSpec{version: versionOrDefault(model.Version), memoryMiB: model.MemoryMiB, value: model.Value, pool: pool, minReplicas: model.MinReplicas}
	if !isAdapter {
		return s, nil
	}
	adapter, ok := v.Adapters.Get(adapterID)
	if !ok || adapter.Model != modelID {
		return checkpointSpec{}, errkind.New(errkind.NotHome, "checkpoint "+checkpoint+" is not configured")
	}
	return checkpointSpec{base: modelID, version: versionOrDefault(adapter.Version), memoryMiB: adapter.MemoryMiB, value: adapter.Value, pool: pool}, nil
}

func versionOrDefault(configured string) string {
	if configured == "" {
		return "1"
	}
	return configured
}

// usableMemoryMiB returns the smaller of the configured engine memory and the
// memory that the engine reports.
func (m *Manager) usableMemoryMiB() int64 {
	pool, _ := m.Views.View().Pools.Get(m.Self.Pool)
	if pool.MemoryMiB > 0 && (m.engineMemoryMiB <= 0 || pool.MemoryMiB < m.engineMemoryMiB) {
		return pool.MemoryMiB
	}
	return m.engineMemoryMiB
}

func (m *Manager) checksFencing() bool {
	pool, _ := m.Views.View().Pools.Get(m.Self.Pool)
	return pool.ChecksFencing
}
