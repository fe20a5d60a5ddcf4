package engineagent

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
)

// declinesStoreLoad returns why a load from the weight store cannot begin now, or "" if it can or need not.
// Engines take turns at the weight store, for seconds each. A load that waited for its turn here would
// keep a place at the store that another engine can use at once.
func (a *Agent) declinesStoreLoad(req agentapi.EnsureRequest) string {
	if !req.FromStore {
		return ""
	}
	now := time.Now()
	spec := a.engineSpec()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case spec == nil || !a.reachable || a.fence == 0 || a.report.Draining:
		return "engine takes no orders"
	case a.report.Holdings.HasModel(req.Model) || a.loading == req.Model:
		return ""
	case a.report.Busy || now.Before(a.backoffUntil):
		return "engine executes another order"
	}
	in := a.placementInput(spec, []modelplacement.LoadRequest{{Model: req.Model, Since: now, Demand: req.ExpectedDemand}}, now)
	switch {
	case modelplacement.Next(in).Kind != modelplacement.None:
		return ""
	case !in.StoreAllowed:
		return "not the engine's turn at the weight store"
	default:
		return "no loaded model may be unloaded"
	}
}
