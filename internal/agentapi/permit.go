package agentapi

import "time"

// PermitTTL is how long after the call for it a permit may be used. A request that is
// sent later would fall into a second in which the permit no longer counts.
const PermitTTL = 250 * time.Millisecond

// PathPermit is the call by which an entry instance asks to send a request to an engine
// that is cold or names a rate limit.
const PathPermit = "/v1/agent/permit"

// PermitRequest asks for one request.
type PermitRequest struct {
	// Request is the id of the request.
	Request string `json:"request"`
	// Cold asks for one of the requests that a cold engine bears.
	Cold bool `json:"cold,omitempty"`
	// RateLimit is the limit in requests a second that the entry instance knows of; 0 is
	// none. The agent goes by the engine's own report if it has one.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// MaxWaitMS is how long the request may wait for its place within the rate limit, in ms.
	MaxWaitMS int64 `json:"max_wait_ms,omitempty"`
}

// PermitResponse tells whether the request may be sent, and after how many ms. If not,
// WaitMS is when to ask again, in ms.
type PermitResponse struct {
	Granted bool  `json:"granted"`
	AfterMS int64 `json:"after_ms,omitempty"`
	WaitMS  int64 `json:"wait_ms,omitempty"`
}
