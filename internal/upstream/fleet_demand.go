package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
)

// FleetDemand tells what all entry instances together request. The pool calls it while
// it is locked.
type FleetDemand interface {
	// Turn returns the position of this instance among those that decide on loads from
	// the weight store, and their number, 0 if this instance does not decide.
	Turn() (rank, deciders int)
	// Demand returns the estimated demand of all instances for a model.
	Demand(model string, now time.Time) agentapi.ModelDemand
}

// SetFleetDemand replaces the estimate from this instance's own requests.
func (p *Pool) SetFleetDemand(d FleetDemand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleetDemand = d
}

func (p *Pool) demandSource() FleetDemand {
	if p.fleetDemand != nil {
		return p.fleetDemand
	}
	return ownDemand{p}
}

// ownDemand estimates the demand of all instances as that of this one times their
// number. All of them take turns.
type ownDemand struct{ pool *Pool }

func (o ownDemand) Turn() (rank, deciders int) {
	return o.pool.entryRank, max(1, o.pool.entryCount)
}

func (o ownDemand) Demand(model string, now time.Time) agentapi.ModelDemand {
	m, ok := o.pool.demands[model]
	if !ok {
		return agentapi.ModelDemand{}
	}
	entries := float64(max(1, o.pool.entryCount))
	return agentapi.ModelDemand{Requests: entries * m.requestsAt(now), PrefillMS: entries * m.prefillMS * m.decayFactor(now)}
}
