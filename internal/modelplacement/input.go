package modelplacement

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Input is everything that the decision depends on.
type Input struct {
	Now      time.Time
	Engine   *fleet.Engine
	Holdings *fleet.Holdings
	// LoadRequests are the models requested to be loaded, oldest first.
	LoadRequests []LoadRequest
	// Usage is the known usage of the loaded models.
	Usage map[string]Usage
	// StoreAllowed means that a load from the weight store may start now.
	StoreAllowed bool
}

// LoadRequest is a request to load a model.
type LoadRequest struct {
	Model string
	// Since is when the load was first requested.
	Since time.Time
	// Waiting is the number of callers' requests that wait for the load. It is 0
	// if only a background load was requested.
	Waiting int
	// Demand is the expected demand for the new copy if a background load was
	// requested, and 0 otherwise. Only background loads may fetch weights from
	// the weight store.
	Demand float64
}

// Usage is the usage of a model at this engine as reported by entry instances.
type Usage struct {
	// Demand is the decayed count of requests for the model at all engines.
	Demand float64
	// InFlight is the number of requests running here.
	InFlight int
	// Copies is the number of engines that have the model loaded, this one
	// included.
	Copies int
	// Elsewhere is the number of other engines that have the model loaded, in memory or on disk.
	Elsewhere int
	// LastUsed is when a request was last sent here.
	LastUsed time.Time
	// LoadedAt is when this agent first saw the model loaded.
	LoadedAt time.Time
}
