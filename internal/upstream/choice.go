package upstream

import (
	"time"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/spill"
)

// Choice is the upstream selected for an attempt.
type Choice struct {
	Upstream *fleet.Upstream
	// AgentAddr is the address of the agent next to the upstream, or empty.
	AgentAddr string
	// NeedsLoad means that the model or adapter must be loaded first.
	NeedsLoad bool
	// LoadTime is the estimated duration of that load.
	LoadTime time.Duration
	// FromStore means that the load would fetch the weights from the weight
	// store.
	FromStore bool
	// Delay is the estimated time to first token, without LoadTime. For a
	// service without models it only ranks the upstreams.
	Delay time.Duration
	// UncachedTokens is the number of prompt tokens that are not in the prefix
	// cache of the upstream.
	UncachedTokens int
	// Leaves is why the request leaves the data centre for Upstream, or empty.
	Leaves spill.Reason
	// NeedsPermit means that the upstream is cold or names a rate limit, and its agent
	// decides whether a request may be sent. Permitted means that it may.
	NeedsPermit, Permitted bool
	// Cold and RateLimit tell what the permit is for; RateLimit is in requests a second, 0
	// for none.
	Cold      bool
	RateLimit float64
	// Replica is another engine on which to load the model in the background,
	// or nil. Demand is set only in the Choice of a Replica: it is the expected
	// decayed request count per copy once that copy is loaded.
	Replica *Choice
	Demand  float64
}
