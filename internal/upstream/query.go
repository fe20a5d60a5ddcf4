package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Query describes an attempt for which an upstream is needed.
type Query struct {
	Service        string
	Model, Adapter string
	Prompt         []fleet.PromptPart
	TokensIn       int
	// TokensOut is the expected number of generated tokens; 0 is unknown.
	TokensOut int
	// Bytes is the length of the request's body.
	Bytes int
	// Objective is the route's latency objective. Here it applies to the time to
	// first token.
	Objective time.Duration
	// EventInterval is the longest interval between events of a stream that counts as on
	// time; 0 is unknown.
	EventInterval time.Duration
	// Streams tells that the response is a stream, whose header comes with the first token.
	Streams bool
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// Urgency is the priority of the request; 0 is the most urgent.
	Urgency int
	// VersionBound tells that only upstreams with the software version Version may be chosen,
	// since the request goes on with a stream that this version began.
	VersionBound bool
	Version      string
	// ResponseStarted means that a part of the response was already sent to the
	// caller.
	ResponseStarted bool
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Tried has the IDs of the upstreams that must not be tried again.
	Tried map[string]bool
}

// Name returns MODEL or MODEL/ADAPTER.
func (q *Query) Name() string {
	if q.Adapter == "" {
		return q.Model
	}
	return q.Model + "/" + q.Adapter
}
