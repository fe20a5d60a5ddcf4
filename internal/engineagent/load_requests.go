package engineagent

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/modelplacement"
)

// backgroundTTL is how long a background request stays valid.
const backgroundTTL = 3 * time.Second

// loadRequest is a requested model or adapter.
type loadRequest struct {
	requestedAt time.Time
	// waiters is the number of ensure calls that wait for the load.
	waiters int
	// backgroundUntil is when a background request ends. expectedDemand is the
	// demand that the copy loaded for it would serve.
	backgroundUntil time.Time
	expectedDemand  float64
}

// loadRequests holds the requested models and adapters by name.
type loadRequests map[string]*loadRequest

func (r loadRequests) add(name string, now time.Time) { r.getOrCreate(name, now).waiters++ }

// addBackground records a background request.
func (r loadRequests) addBackground(name string, expectedDemand float64, now time.Time) {
	req := r.getOrCreate(name, now)
	req.backgroundUntil, req.expectedDemand = now.Add(backgroundTTL), expectedDemand
}

func (r loadRequests) getOrCreate(name string, now time.Time) *loadRequest {
	req, ok := r[name]
	if !ok {
		req = &loadRequest{requestedAt: now}
		r[name] = req
	}
	return req
}

func (r loadRequests) release(name string, now time.Time) {
	if req, ok := r[name]; ok {
		req.waiters--
		r.removeIfDone(name, req, now)
	}
}

// endBackground ends a background request whose model is loaded, and returns the demand that was expected for
// it. If the request went on, the model would be loaded again when it is displaced soon after.
func (r loadRequests) endBackground(name string, now time.Time) (expectedDemand float64) {
	req, ok := r[name]
	if !ok {
		return 0
	}
	req.backgroundUntil = now
	r.removeIfDone(name, req, now)
	return req.expectedDemand
}

func (r loadRequests) removeIfDone(name string, req *loadRequest, now time.Time) {
	if req.waiters <= 0 && !now.Before(req.backgroundUntil) {
		delete(r, name)
	}
}

// list returns the requests for whose names match returns true, oldest first.
func (r loadRequests) list(now time.Time, match func(name string) bool) []modelplacement.LoadRequest {
	var out []modelplacement.LoadRequest
	for name, req := range r {
		r.removeIfDone(name, req, now)
		if _, ok := r[name]; ok && match(name) {
			item := modelplacement.LoadRequest{Model: name, Since: req.requestedAt, Waiting: req.waiters}
			if now.Before(req.backgroundUntil) {
				item.Demand = req.expectedDemand
			}
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b modelplacement.LoadRequest) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
	})
	return out
}
