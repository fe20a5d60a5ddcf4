package gateway_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRetriesBeyondTheBudget guards against requests that are sent again without end while an
// upstream turns all of them away, which is more load when it bears least.
func TestRetriesBeyondTheBudget(t *testing.T) {
	check := is.New(t)
	// The budget of the environment is 0.8 of 50 retries a second.
	const requests, maxRetries = 100, 50
	turnAway := respond(503, "", "Jacinthbend-Not-Executed: 1")
	env := newEnv(t, turnAway, turnAway, turnAway)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			resp := env.send("POST", "/safe/", "x", withID(i))
			check.Equal(resp.status, 503)
		})
	}
	wg.Wait()
	arrivals := len(env.receivedRequests())
	t.Logf("%d arrivals of %d requests", arrivals, requests)
	check.True(arrivals > requests)
	check.True(arrivals <= requests+maxRetries)
}
