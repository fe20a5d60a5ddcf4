package spill

import (
	"math"
	"time"
)

const (
	// settleTime is the time constant of the share that leaves: it changes by at most half of
	// all requests a second, thus by 0.15 within the age of a report of load (300 ms).
	settleTime = 2 * time.Second
	// returnCredit is how many departures must be due before a request leaves that could stay.
	returnCredit = 2
)

// Damper bounds how fast the share of requests changes that leave because of load. The zero
// value lets none leave at first.
type Damper struct {
	// share is the mean of the decisions to leave, over settleTime. credit is the number of
	// departures that are due at this share.
	share, credit float64
	at            time.Time
}

// Leaves reports whether the request of a decision leaves now, and why.
func (d *Damper) Leaves(decision Decision, now time.Time) (bool, Reason) {
	if decision.AtOnce {
		return true, decision.Reason
	}
	wanted := 0.0
	if decision.Leave {
		wanted = 1
	}
	if !d.at.IsZero() {
		d.share += (wanted - d.share) * (1 - math.Exp(-float64(max(0, now.Sub(d.at)))/float64(settleTime)))
	}
	d.at = now
	d.credit = min(returnCredit, d.credit+d.share)
	switch {
	case decision.Leave && d.credit >= 1:
		d.credit--
		return true, decision.Reason
	case decision.Harmless && d.credit >= returnCredit:
		d.credit--
		return true, Returning
	default:
		return false, ""
	}
}

// Share returns the share of requests that may leave.
func (d *Damper) Share() float64 { return d.share }
