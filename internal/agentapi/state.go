// Package agentapi defines the messages between entry instances and agents.
package agentapi

import (
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/promptcache"
)

// Paths of the calls that an agent serves.
const (
	PathState  = "/v1/agent/state"
	PathEnsure = "/v1/agent/ensure"
)

// State is what an agent reports about its engine. Entry instances see the
// engine as an upstream.
type State struct {
	// Incarnation identifies one run of the agent process. Version increases with
	// every change within an incarnation.
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Reachable is set if the engine responds. If it is not, the fields below are
	// empty, except PromptParts: a caller asks only for what changes after Version.
	Reachable bool `json:"known"`
	// StartedAtMS is when the engine started, in Unix milliseconds. It distinguishes
	// restarts.
	StartedAtMS int64 `json:"born"`
	// Cached are the prompt parts by PromptParts and the earlier reports, nil if there is none.
	Cached *promptcache.Parts `json:"-"`
	// Holdings is omitted if it has not changed since the version that the caller
	// has.
	Holdings *fleet.Holdings `json:"holdings,omitempty"`
	// Loading is the model being loaded, or empty.
	Loading string `json:"loading,omitempty"`
	// LoadRemainingMS is the estimated remaining time of that load, in ms.
	LoadRemainingMS int64 `json:"loading_left_ms,omitempty"`
	// LoadingFromStore is set if that load reads the weights from the weight
	// store. StoreSlowdown is the duration of the last such load divided by its
	// nominal duration, or 0 if unknown.
	LoadingFromStore bool    `json:"store_load,omitempty"`
	StoreSlowdown    float64 `json:"store_slowdown,omitempty"`
	// LoadQueue lists the models waiting to be loaded, next first. Requests wait for the
	// first WaitingLoads of them.
	LoadQueue    []string `json:"wanted,omitempty"`
	WaitingLoads int      `json:"waiting_loads,omitempty"`
	// Queued and Running are the engine's request counts over all callers.
	Queued   int  `json:"queued"`
	Running  int  `json:"running"`
	Draining bool `json:"draining,omitempty"`
	// RateLimit is how many requests a second the engine takes from all entry instances
	// together; 0 is no limit.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// PromptParts is what the caller does not have yet of the report of the prompt parts that
	// the engine has cached; empty if that is nothing, or the engine does not tell.
	PromptParts string `json:"prompt_parts,omitempty"`
}

// StateRequest asks for a state newer than After, and reports the demand that
// the entry instance sees for the models and adapters of the upstream.
type StateRequest struct {
	From string `json:"from"`
	// FromAddr is where the agent may read the operators' records from the entry
	// instance, IP:port; empty if it should read the store. FromDataCentre is where the
	// instance is.
	FromAddr       string `json:"from_addr,omitempty"`
	FromDataCentre string `json:"from_data_centre,omitempty"`
	// Incarnation and After identify the last state that the caller has.
	Incarnation int64  `json:"incarnation"`
	After       uint64 `json:"after"`
	// WaitMS is how long the agent may wait for a newer state before it responds,
	// in ms.
	WaitMS int `json:"wait_ms"`
	// Engines is the number of engines that share the weight store. Rank is the
	// position of this engine among them, starting from 0.
	Engines int `json:"engines"`
	Rank    int `json:"rank"`
	// Watched is the number of agents of all services whose states the entry instance polls. It
	// is 0 if it has not changed since the last call.
	Watched int `json:"watched,omitempty"`
	// Demand omits models and adapters with almost no demand.
	Demand []Demand `json:"demand,omitempty"`
}

// Demand is one entry instance's demand for a model or adapter that an upstream
// holds.
type Demand struct {
	// Name is MODEL or MODEL/ADAPTER.
	Name string `json:"name"`
	// Sent is the number of requests sent to the upstream since the last call.
	Sent int `json:"recent"`
	// Requested is an exponentially decayed count of the requests that this entry
	// instance received for it, whichever upstream they were sent to.
	Requested float64 `json:"asked"`
	// InFlight is the number of running requests that this entry instance sent to
	// the upstream.
	InFlight int `json:"in_flight"`
	// Copies is the number of upstreams that hold it.
	Copies int `json:"copies"`
	// Elsewhere is the number of other upstreams that have the model loaded, in memory or on disk. While
	// there are none, the upstream may be the only place outside the weight store that has it.
	Elsewhere int `json:"elsewhere,omitempty"`
}
