package routing

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// defaultLimit counts until the first report.
const defaultLimit = 64

// upstream is what this instance knows of one upstream.
type upstream struct {
	id string
	// own counts the requests of this instance in flight.
	own int
	// others is the reported load of the other instances.
	others int
	limit  int
	// excludedUntil ends the exclusion after a refusal or failure.
	excludedUntil time.Time
	wait          *backoff.ExponentialBackOff
	// seq is the last cache event; generation grows at each gap and makes
	// everything learned before it void.
	seq        uint64
	generation uint64
}

// load returns the estimated load relative to the limit, with one more request.
func (u *upstream) load() float64 {
	return float64(u.own+u.others+1) / float64(u.limit)
}

func (u *upstream) excluded(now time.Time) bool { return now.Before(u.excludedUntil) }

// report takes note of the load of the other instances.
func (u *upstream) report(r LoadReport) {
	u.others = max(0, r.InFlight-u.own)
	if r.Limit > 0 {
		u.limit = r.Limit
	}
}
