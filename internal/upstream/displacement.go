package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
)

// displacement is what a load from the weight store costs the other models of an engine.
type displacement struct {
	// unloads tells that the model does not fit into free memory, and unloadsLast that all models which
	// could be unloaded are nowhere else outside the weight store.
	unloads, unloadsLast bool
	// only is the number of models that no other engine has loaded, in memory or on disk. For the ten
	// seconds of the load, the engine loads none of them from its disk, and if the disk is full, the load
	// takes the place of a copy there.
	only int
}

// compare orders displacements by what they cost.
func (d displacement) compare(o displacement) int {
	return cmp.Or(modelplacement.CompareBool(d.unloadsLast, o.unloadsLast), cmp.Compare(d.only, o.only), modelplacement.CompareBool(d.unloads, o.unloads))
}

// displacement returns what a load of the model from the weight store costs at an engine.
func (p *Pool) displacement(s *state, spec *fleet.Engine, model string, now time.Time) displacement {
	h := s.holdings(now)
	if h == nil {
		return displacement{}
	}
	d := displacement{unloads: true, unloadsLast: true}
	free := spec.MemoryMB
	diskFull := modelplacement.FreeDiskMB(spec, h) < spec.Models[model].WeightsMB
	for name, adapters := range h.Adapters {
		m := spec.Models[name]
		free -= m.WeightsMB + float64(len(adapters))*m.AdapterMB
		if p.availableCounts[copyKey{s.upstream.Service, name}] > 1 || !diskFull && slices.Contains(h.OnDisk, name) {
			d.unloadsLast = false
		}
	}
	if free >= spec.Models[model].WeightsMB {
		d.unloads, d.unloadsLast = false, false
	}
	for name := range heldModels(h) {
		if p.availableCounts[copyKey{s.upstream.Service, name}] <= 1 {
			d.only++
		}
	}
	return d
}

// maxStoreLoadEngines is how many engines are asked for one load. With a limit on loads that gives each
// engine a third of the time, one of eight has its turn in 96 of 100 cases.
const maxStoreLoadEngines = 8

// storeLoadEngines returns the engines to ask for a load of the model from the weight store, those at which
// it displaces least first, and of these the one that can load it soonest.
func (p *Pool) storeLoadEngines(engines []candidate, spec *fleet.Engine, model string, now time.Time) []candidate {
	p.countCopies(now)
	type option struct {
		candidate
		cost displacement
		time time.Duration
	}
	var options []option
	for _, e := range engines {
		if e.state.agentAddr != "" {
			options = append(options, option{e, p.displacement(e.state, spec, model, now), loadTime(e.state, spec, spec.Models[model], now)})
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(a.cost.compare(b.cost), cmp.Compare(a.time, b.time), cmp.Compare(a.rankFor(model), b.rankFor(model)))
	})
	var out []candidate
	for _, o := range options[:min(maxStoreLoadEngines, len(options))] {
		out = append(out, o.candidate)
	}
	return out
}
