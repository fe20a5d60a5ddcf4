package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// target returns the service of a request. On a split route the request's id
// decides, so that every attempt of it goes to one service.
func target(r *fleet.Route, requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	const steps = 1 << 20
	at := float64(xxhash.Sum64String(requestID)%steps) / steps * total
	for _, t := range r.Targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
