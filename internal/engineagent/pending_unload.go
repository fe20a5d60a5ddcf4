package engineagent

import "github.com/jacinthbend/jacinthbend/internal/fleet"

// pendingUnload is the last order to unload a model. Until the running requests
// for the model have ended, the engine still lists the model but refuses new
// requests for it. The engine may also execute the order seconds after the agent
// gave up waiting for the response.
type pendingUnload struct {
	model string
	// expectedSequence is the ExpectedSequence of the order.
	expectedSequence int64
}

// record stores an unload order that the engine has accepted or may still
// accept.
func (p *pendingUnload) record(o fleet.Order) {
	if o.Kind == fleet.OrderUnload && o.Adapter == "" {
		*p = pendingUnload{model: o.Model, expectedSequence: o.ExpectedSequence}
	}
}

// filterReport removes the model from a report while the engine executes the
// order.
func (p *pendingUnload) filterReport(r *fleet.EngineReport) {
	switch {
	case p.model == "" || r.Sequence <= p.expectedSequence:
	case r.Busy:
		delete(r.Holdings.Adapters, p.model)
	default:
		*p = pendingUnload{}
	}
}
