package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// targetService returns the service that handles a request. If the route splits
// its traffic, a hash of the request id selects the service, so that all attempts
// of a request go to the same one.
func targetService(route *fleet.Route, requestID string) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0.0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(requestID)%buckets) / buckets * total
	for _, t := range route.Targets {
		if point -= max(0, t.Weight); point < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
