package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// Query describes an attempt that needs an upstream.
type Query struct {
	Service        string
	Model, Adapter string
	Prompt         []fleet.PromptPart
	TokensIn       int
	// Objective is the time to the first token that earns full credit.
	Objective time.Duration
	// Urgency is the request's rank, 0 first.
	Urgency int
	// ResponseStarted tells that a part of the answer was passed on.
	ResponseStarted bool
	// DataCentre is that of this instance.
	DataCentre string
	// Tried are the upstreams of earlier attempts.
	Tried map[string]bool
}

// Name returns MODEL or MODEL/ADAPTER.
func (q *Query) Name() string {
	if q.Adapter == "" {
		return q.Model
	}
	return q.Model + "/" + q.Adapter
}
