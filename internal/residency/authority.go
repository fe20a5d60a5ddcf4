package residency

import (
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/freshness"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// baseOf returns the base model of an adapter's checkpoint, empty for a base model.
func baseOf(checkpoint string) string {
	base, _, isAdapter := strings.Cut(checkpoint, ":")
	if !isAdapter {
		return ""
	}
	return base
}

// authority returns the fencing number under which the agent may load the
// checkpoint now. It checks the view age, the incarnation and the home.
func (a *Account) authority(checkpoint string) (platform.Offset, error) {
	if a.off.noCheck {
		return a.fence(checkpoint), nil
	}
	if !a.Views.MayWork() {
		return 0, errkind.New(errkind.ViewStale, "agent "+a.self.Instance+" has an outdated view")
	}
	if !a.alive() {
		return 0, errkind.New(errkind.Fenced, "this incarnation of agent "+a.self.Instance+" has been replaced")
	}
	homes, _ := a.Views.View().Homes.Get(checkpoint)
	if !homes.HasActive(a.self) {
		return 0, errkind.New(errkind.NotHome, a.self.Instance+" is not a home of "+checkpoint)
	}
	return a.fence(checkpoint), nil
}

// fresh reports whether the view is young enough to release what moved away.
// Unlike MayWork it holds while the data centre is out: an agent there loads
// nothing, but a checkpoint that it never released could not be loaded anywhere
// else.
func (a *Account) fresh() bool { return a.Views.Age() <= freshness.ViewBound }

// alive reports whether this incarnation is the live one in the view.
func (a *Account) alive() bool {
	m, ok := a.Views.View().Members.Get(a.self.Instance)
	return ok && m.Incarnation == a.self.Incarnation
}

// fence returns the fencing number of an order: the later of the record that
// set the homes and the record by which this incarnation joined. The join
// counts because homes pass to a new incarnation without a new homes record,
// and an order of the earlier incarnation must lose against the new one's.
func (a *Account) fence(checkpoint string) platform.Offset {
	if a.off.noFence {
		return 0
	}
	v := a.Views.View()
	homes, _ := v.Homes.Get(checkpoint)
	m, ok := v.Members.Get(a.self.Instance)
	if !ok || m.Incarnation != a.self.Incarnation {
		return homes.Offset
	}
	return max(homes.Offset, m.JoinOffset)
}

// wanted reports whether the view lets r stay loaded as it is.
func (a *Account) wanted(r *replica) bool {
	homes, _ := a.Views.View().Homes.Get(r.checkpoint)
	if !homes.HasActive(a.self) {
		return false
	}
	if r.base != "" {
		base, _ := a.Views.View().Homes.Get(r.base)
		if !base.HasActive(a.self) {
			return false
		}
	}
	s, err := a.spec(r.checkpoint)
	return err == nil && s.version == r.version
}

// spec returns what the configuration says of the checkpoint.
func (a *Account) spec(checkpoint string) (spec, error) {
	v := a.Views.View()
	modelID, adapterID, isAdapter := strings.Cut(checkpoint, ":")
	model, ok := v.Models.Get(modelID)
	if !ok {
		return spec{}, errkind.New(errkind.NotHome, "checkpoint "+checkpoint+" is not configured")
	}
	pool, _ := v.Pools.Get(model.Pool)
	s := spec{version: version(model.Version), memory: model.MemoryMiB, value: model.Value, pool: pool, minReplicas: model.MinReplicas}
	if !isAdapter {
		return s, nil
	}
	adapter, ok := v.Adapters.Get(adapterID)
	if !ok || adapter.Model != modelID {
		return spec{}, errkind.New(errkind.NotHome, "checkpoint "+checkpoint+" is not configured")
	}
	return spec{base: modelID, version: version(adapter.Version), memory: adapter.MemoryMiB, value: adapter.Value, pool: pool}, nil
}

func version(configured string) string {
	if configured == "" {
		return "1"
	}
	return configured
}

// memory returns the engine's memory in MiB: the smaller of what the operator
// configured and what the engine states.
func (a *Account) memory() int64 {
	pool, _ := a.Views.View().Pools.Get(a.Self.Pool)
	if pool.MemoryMiB > 0 && (a.capacity <= 0 || pool.MemoryMiB < a.capacity) {
		return pool.MemoryMiB
	}
	return a.capacity
}

func (a *Account) checksFencing() bool {
	pool, _ := a.Views.View().Pools.Get(a.Self.Pool)
	return pool.ChecksFencing
}
