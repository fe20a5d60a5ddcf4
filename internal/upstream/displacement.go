package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// displacement is what a load from the weight store costs the other models of an engine.
type displacement struct {
	// unloads tells that the model does not fit into free memory, and unloadsLast that all models which
	// could be unloaded are nowhere else outside the weight store.
	unloads, unloadsLast bool
	// only is the number of models that no other engine has loaded, in memory or on disk. A load from the
	// weight store also takes the place of a copy on the engine's disk, of which the engine decides.
	only int
}

// less reports whether d costs less than o.
func (d displacement) less(o displacement) bool {
	switch {
	case d.unloadsLast != o.unloadsLast:
		return o.unloadsLast
	case d.only != o.only:
		return d.only < o.only
	default:
		return !d.unloads && o.unloads
	}
}

// displacement returns what a load of the model from the weight store costs at an engine.
func (p *Pool) displacement(s *state, spec *fleet.Engine, model string, now time.Time) displacement {
	h := s.holdings(now)
	if h == nil {
		return displacement{}
	}
	d := displacement{unloads: true, unloadsLast: true}
	free := spec.MemoryMB
	for name, adapters := range h.Adapters {
		m := spec.Models[name]
		free -= m.WeightsMB + float64(len(adapters))*m.AdapterMB
		if p.availableCounts[copyKey{s.upstream.Service, name}] > 1 {
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

// leastDisplacing returns those of engines at which a load of the model from the weight store displaces
// least.
func (p *Pool) leastDisplacing(engines []candidate, spec *fleet.Engine, model string, now time.Time) []candidate {
	p.countCopies(now)
	var out []candidate
	var least displacement
	for _, e := range engines {
		d := p.displacement(e.state, spec, model, now)
		if len(out) == 0 || d.less(least) {
			least, out = d, nil
		}
		if d == least {
			out = append(out, e)
		}
	}
	return out
}
