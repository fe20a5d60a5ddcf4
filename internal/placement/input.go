package placement

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Input is what the decision depends on.
type Input struct {
	Now      time.Time
	Engine   *fleet.Engine
	Holdings *fleet.Holdings
	// LoadRequests are the models that are asked for, in the order of asking.
	LoadRequests []LoadRequest
	// Usage is what is known of the models that are loaded.
	Usage map[string]Usage
	// StoreAllowed tells whether a load from the weight store may begin now.
	StoreAllowed bool
}

// LoadRequest is a model that is asked for.
type LoadRequest struct {
	Model string
	// Since is when it was asked for first.
	Since time.Time
	// Waiting is how many requests wait; 0 is a background load.
	Waiting int
	// Demand is the demand that a background load would carry; 0 is no background
	// load. Only those may take weights from the weight store.
	Demand float64
}

// Usage is what entry instances say of a model at this engine.
type Usage struct {
	// Demand is a decayed count of requests for the model at all engines.
	Demand float64
	// InFlight is how many requests run here now.
	InFlight int
	// Copies is how many engines hold it, this one included.
	Copies int
	// LastUsed is when a request was last sent here.
	LastUsed time.Time
	// LoadedAt is when this agent saw the model first.
	LoadedAt time.Time
}
