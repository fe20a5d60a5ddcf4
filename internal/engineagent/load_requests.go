package engineagent

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/placement"
)

// prefetchTTL is how long a background request stays valid.
const prefetchTTL = 3 * time.Second

// loadRequest is a requested model or adapter.
type loadRequest struct {
	requestedAt time.Time
	waiters     int
	// prefetchUntil is the end of a background request. expectedDemand is the
	// demand that the copy loaded for it would serve.
	prefetchUntil  time.Time
	expectedDemand float64
}

// loadRequests holds the requested models and adapters by name.
type loadRequests map[string]*loadRequest

func (r loadRequests) add(name string, now time.Time) { r.getOrCreate(name, now).waiters++ }

// addPrefetch records a background request.
func (r loadRequests) addPrefetch(name string, expectedDemand float64, now time.Time) {
	req := r.getOrCreate(name, now)
	req.prefetchUntil, req.expectedDemand = now.Add(prefetchTTL), expectedDemand
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

func (r loadRequests) removeIfDone(name string, req *loadRequest, now time.Time) {
	if req.waiters <= 0 && !now.Before(req.prefetchUntil) {
		delete(r, name)
	}
}

// list returns the requests whose names match selects, oldest first.
func (r loadRequests) list(now time.Time, match func(name string) bool) []placement.LoadRequest {
	var out []placement.LoadRequest
	for name, req := range r {
		r.removeIfDone(name, req, now)
		if _, ok := r[name]; ok && match(name) {
			item := placement.LoadRequest{Model: name, Since: req.requestedAt, Waiting: req.waiters}
			if now.Before(req.prefetchUntil) {
				item.Demand = req.expectedDemand
			}
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b placement.LoadRequest) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Model, b.Model))
	})
	return out
}
