package assignment

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// placeAdapters places each adapter on homes of its base model. An adapter load
// takes milliseconds, so these moves do not count against MaxMoves.
func (p *plan) placeAdapters(modelHomes map[string][]record.InstanceRef) {
	for _, id := range slices.Sorted(maps.Keys(p.view.Adapters.Map())) {
		a, _ := p.view.Adapters.Get(id)
		p.placeAdapter(a.Model+":"+id, a, modelHomes[a.Model])
	}
}

func (p *plan) placeAdapter(checkpoint string, a config.Adapter, base []record.InstanceRef) {
	old, _ := p.view.Homes.Get(checkpoint)
	model, _ := p.view.Models.Get(a.Model)
	pl := p.pools[model.Pool]
	if pl == nil {
		pl = &pool{}
	}
	t := target{checkpoint: checkpoint, hash: xxhash.Sum64String(checkpoint), memory: a.MemoryMiB, max: max(1, a.MaxReplicas), pool: pl, old: old}
	var keep []record.InstanceRef
	for _, ref := range old.Active {
		if len(keep) < t.max && slices.Contains(base, ref) {
			keep = append(keep, ref)
		}
	}
	releasing := len(old.Releasing) + len(old.Active) - len(keep)
	if len(keep)+releasing < t.max && len(keep) < len(base) {
		keep = p.addHomes(t, keep, t.max-releasing, base)
	}
	p.emit(t, keep)
}

// addHomes returns keep with homes of the base model added until it holds want
// homes or no candidate is left.
func (p *plan) addHomes(t target, keep []record.InstanceRef, want int, base []record.InstanceRef) []record.InstanceRef {
	var candidates []*upstream
	for _, ref := range base {
		if u := p.eligible(ref); u != nil {
			candidates = append(candidates, u)
		}
	}
	for len(keep) < want {
		u := p.choose(t, candidates, keep)
		if u == nil {
			return keep
		}
		keep = append(keep, u.ref)
	}
	return keep
}

// clearDeleted plans no homes for checkpoints that are no longer configured.
func (p *plan) clearDeleted() {
	var deleted []string
	for cp, h := range p.view.Homes.All() {
		if len(h.Active) > 0 && !p.configured(cp) {
			deleted = append(deleted, cp)
		}
	}
	slices.Sort(deleted)
	for _, cp := range deleted {
		h, _ := p.view.Homes.Get(cp)
		p.entries = append(p.entries, record.HomeAssignment{Checkpoint: cp, Base: h.Offset})
	}
}

func (p *plan) configured(checkpoint string) bool {
	model, adapter, isAdapter := strings.Cut(checkpoint, ":")
	if !isAdapter {
		_, ok := p.view.Models.Get(model)
		return ok
	}
	a, ok := p.view.Adapters.Get(adapter)
	return ok && a.Model == model
}
