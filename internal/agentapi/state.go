// Package agentapi has the messages between entry instances and agents.
package agentapi

import "github.com/jacinthbend/jacinthbend/internal/fleet"

// Paths of an agent's calls.
const (
	PathState  = "/v1/agent/state"
	PathEnsure = "/v1/agent/ensure"
)

// State is what an agent knows of its upstream.
type State struct {
	// Incarnation is one start of the agent, and Version rises with each change in it.
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Reachable tells whether the upstream has answered; the rest is empty otherwise.
	Reachable bool `json:"known"`
	// StartedAtMS tells the starts of the upstream apart, in Unix milliseconds.
	StartedAtMS int64 `json:"born"`
	// Holdings is left out when it has not changed since the version asked for.
	Holdings *fleet.Holdings `json:"holdings,omitempty"`
	// Loading is the model of the order that is being carried out, or empty.
	Loading string `json:"loading,omitempty"`
	// LoadRemainingMS is the estimated time until it is done, in ms.
	LoadRemainingMS int64 `json:"loading_left_ms,omitempty"`
	// LoadingFromStore tells that it takes the weights from the weight store, and
	// StoreSlowdown how many times its nominal time the last such load took.
	LoadingFromStore bool    `json:"store_load,omitempty"`
	StoreSlowdown    float64 `json:"store_slowdown,omitempty"`
	// LoadQueue are the models that wait for a load, first to last.
	LoadQueue []string `json:"wanted,omitempty"`
	// Queued and Running are the upstream's requests of all callers.
	Queued   int  `json:"queued"`
	Running  int  `json:"running"`
	Draining bool `json:"draining,omitempty"`
}

// StateRequest asks for a state newer than After and tells what the entry
// instance sends to the upstream.
type StateRequest struct {
	From string `json:"from"`
	// Incarnation and After are of the last state that the caller has.
	Incarnation int64  `json:"incarnation"`
	After       uint64 `json:"after"`
	// WaitMS is how long the call may wait for a newer state, in ms.
	WaitMS int `json:"wait_ms"`
	// Engines is how many engines share the weight store, and Rank the place of
	// this one among them, from 0.
	Engines int `json:"engines"`
	Rank    int `json:"rank"`
	// Demand leaves out what nobody asks for.
	Demand []Demand `json:"demand,omitempty"`
}

// Demand is what one entry instance sees of a model or adapter at an upstream.
type Demand struct {
	// Name is MODEL or MODEL/ADAPTER.
	Name string `json:"name"`
	// Sent is how many requests were sent to the upstream since the last call.
	Sent int `json:"recent"`
	// Requested is how many requests callers sent for it to this instance in the last
	// seconds, at any upstream, as a decayed count.
	Requested float64 `json:"asked"`
	// InFlight is how many requests run now.
	InFlight int `json:"in_flight"`
	// Copies is how many upstreams hold it.
	Copies int `json:"copies"`
}
