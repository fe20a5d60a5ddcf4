package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/agentapi"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestEngineAtItsRateLimit guards against a request that is refused although the engine's
// limit has room in time, one that is held although it has not, and one that is sent before
// its place.
func TestEngineAtItsRateLimit(t *testing.T) {
	const soon, late = 300 * time.Millisecond, 4 * time.Second
	for name, delay := range map[string]time.Duration{"now": 0, "soon": soon, "late": late} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			env := newEnv(t, chunkedStream(true, event1))
			env.useEngines()
			env.pool.UpdateAgentState("i-0", &agentapi.State{Reachable: true, RateLimit: 1, Holdings: &fleet.Holdings{Adapters: map[string][]string{"m": nil}}}, time.Now())
			env.loader.setPermitDelay(delay)
			start := time.Now()
			resp := env.send("POST", "/model/", "x", "Jacinthbend-Model: m")
			took := time.Since(start)
			if delay == late {
				check.Equal(resp.status, 503)
				check.True(resp.header.Get("Retry-After") != "")
				check.True(took < soon) // refused at once
				check.Equal(len(env.receivedRequests()), 0)
				return
			}
			check.Equal(resp.status, 200)
			check.True(took >= delay)
		})
	}
}
