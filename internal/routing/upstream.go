package routing

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// defaultLimit is the assumed limit of requests in flight until the first load
// report.
const defaultLimit = 64

// upstream is the state of one upstream as this instance knows it.
type upstream struct {
	id string
	// ownInFlight is the number of requests in flight from this instance.
	ownInFlight int
	// othersInFlight is the reported number of requests in flight from the other
	// entry instances.
	othersInFlight int
	limit          int
	// excludedUntil is the end of the exclusion after a refusal or failure.
	// exclusionBackoff gives the length of the next exclusion.
	excludedUntil    time.Time
	exclusionBackoff *backoff.ExponentialBackOff
	// lastSeq is the highest sequence number of a cache event so far. A gap
	// increments generation, which invalidates all earlier cache entries.
	lastSeq    uint64
	generation uint64
}

// load returns what the load would be with one more request, as a fraction of the
// limit.
func (u *upstream) load() float64 {
	return float64(u.ownInFlight+u.othersInFlight+1) / float64(u.limit)
}

func (u *upstream) excluded(now time.Time) bool { return now.Before(u.excludedUntil) }

// updateLoad updates the load of the other instances and the limit.
func (u *upstream) updateLoad(r LoadReport) {
	u.othersInFlight = max(0, r.InFlight-u.ownInFlight)
	if r.Limit > 0 {
		u.limit = r.Limit
	}
}
