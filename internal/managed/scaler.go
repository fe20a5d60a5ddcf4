package managed

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/autoscale"
	"github.com/jacinthbend/jacinthbend/internal/duty"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// scaler collects the input of the decisions on orders of servers. Only the loop of the holder uses it.
type scaler struct {
	view   func() *fleet.View
	states map[string]autoscale.State
}

func newScaler(view func() *fleet.View) *scaler {
	return &scaler{view: view, states: make(map[string]autoscale.State)}
}

// orders returns duty.Options.Orders, nil if s is nil.
func (s *scaler) orders() func(time.Time, map[string]map[string]float64, func(service, dataCentre string) int) []duty.Order {
	if s == nil {
		return nil
	}
	return s.decide
}

// decide returns the orders that are wanted now. An order is left out while it equals what runs and
// nothing has been ordered before.
func (s *scaler) decide(now time.Time, busy map[string]map[string]float64, last func(service, dataCentre string) int) []duty.Order {
	v := s.view()
	if v == nil {
		return nil
	}
	var out []duty.Order
	for name, service := range v.Config.Services {
		if service.Autoscale == nil {
			continue
		}
		a := service.Autoscale
		in := autoscale.Input{
			Now: now, Limits: autoscale.Limits{Min: a.MinReplicas, Max: a.MaxReplicas, Boot: a.BootTime}, DataCentres: make(map[string]autoscale.DataCentre),
		}
		for _, u := range v.Upstreams {
			if u.Service != name {
				continue
			}
			dc := in.DataCentres[u.DataCentre]
			dc.Slots = max(dc.Slots, u.Capacity)
			if !u.Draining {
				dc.Running++
			}
			in.DataCentres[u.DataCentre] = dc
		}
		for id, dc := range in.DataCentres {
			dc.Busy, dc.Out, dc.Ordered = busy[name][id], v.Evacuated[id], last(name, id)
			in.DataCentres[id] = dc
		}
		state, wanted := autoscale.Decide(s.states[name], in)
		s.states[name] = state
		for id, n := range wanted {
			if n != in.DataCentres[id].Running || last(name, id) != 0 {
				out = append(out, duty.Order{Service: name, DataCentre: id, Desired: n})
			}
		}
	}
	return out
}
