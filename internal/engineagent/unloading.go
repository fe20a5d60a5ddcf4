package engineagent

import "github.com/jacinthbend/jacinthbend/internal/fleet"

// unloading is the last order to unload a model. The engine lists the model until
// the runs that use it have ended, and refuses new requests for it meanwhile; the
// order may also be carried out seconds after it went unanswered.
type unloading struct {
	model string
	// expected is the engine's count of orders before this one.
	expected int64
}

// ordered notes an order that the engine has accepted or may accept.
func (u *unloading) ordered(o fleet.Order) {
	if o.Kind == fleet.OrderUnload && o.Adapter == "" {
		*u = unloading{model: o.Model, expected: o.ExpectedSequence}
	}
}

// apply takes the model out of a report while the order is carried out.
func (u *unloading) apply(r *fleet.EngineReport) {
	switch {
	case u.model == "" || r.Sequence <= u.expected:
	case r.Busy:
		delete(r.Holdings.Adapters, u.model)
	default:
		*u = unloading{}
	}
}
