package agentrelay

import "github.com/jacinthbend/jacinthbend/internal/agentapi"

// pathStates is the call by which an entry instance reads the states of a slice.
const pathStates = "/v1/entry/agent-states"

// statesRequest asks for the states of a slice that changed after a version, and reports
// what the calling instance requests.
type statesRequest struct {
	From string `json:"from"`
	// Slice is from 0 to Slices-1.
	Slice  int `json:"slice"`
	Slices int `json:"slices"`
	// Incarnation and After identify what the caller has; 0 is nothing.
	Incarnation int64  `json:"incarnation,omitempty"`
	After       uint64 `json:"after,omitempty"`
	// WaitMS is how long the relay may wait for a change, in ms.
	WaitMS int64 `json:"wait_ms"`
	// Demand is the caller's demand by model or adapter, if HasDemand is set; otherwise the
	// last one holds.
	HasDemand bool                            `json:"has_demand,omitempty"`
	Demand    map[string]agentapi.ModelDemand `json:"demand,omitempty"`
	// Usage is the caller's use of the upstreams of the slice since its last call, by
	// upstream and by model or adapter.
	Usage map[string]map[string]agentapi.Usage `json:"usage,omitempty"`
}

// statesResponse has the states of a slice that changed.
type statesResponse struct {
	// Incarnation identifies one run of the relay; versions of another one cannot be
	// compared.
	Incarnation int64  `json:"incarnation"`
	Version     uint64 `json:"version"`
	// States are the changed states by upstream.
	States map[string]*agentState `json:"states,omitempty"`
	// ConfirmedMS is the age in ms of the oldest confirmation among the reachable
	// agents of the slice. States that did not change are at least as recent.
	ConfirmedMS int64 `json:"confirmed_ms"`
}

// agentState is what a relay knows of one agent.
type agentState struct {
	// State is the last report, without holdings if the caller has them; nil while the
	// agent does not answer.
	State *agentapi.State `json:"state,omitempty"`
	// AgeMS is how old the report is, in ms.
	AgeMS int64 `json:"age_ms"`
	// TimedOut tells that the agent's whole machine does not answer.
	TimedOut bool `json:"timed_out,omitempty"`
}
