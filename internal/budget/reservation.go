package budget

import "time"

// Reservation is the tokens spent on the estimate for one request, to be settled
// with the actual count. Settle does nothing on the zero value.
type Reservation struct {
	holder *Holder
	pool   *grantPool
	tokens float64
	// at is when the tokens were spent.
	at time.Time
	// lastGrant is the last grant used, and lastTokens the tokens taken from it.
	// Other grants used expire sooner, and no tokens are returned to them.
	lastGrant  uint64
	lastTokens float64
	// expires is the earliest expiry of the grants used.
	expires time.Time
}

// Settle corrects the estimate to the actual count of tokens. Unused tokens
// return to the grant they came from unless it has expired. Tokens used beyond
// the estimate are deducted from the team's grants before any other request is
// served.
func (r Reservation) Settle(actual float64) {
	if r.pool == nil || actual == r.tokens {
		return
	}
	if actual > r.tokens {
		r.pool.addDebt(actual - r.tokens)
		return
	}
	unused := min(r.tokens-actual, r.lastTokens)
	if r.pool.refund(time.Now(), r.lastGrant, unused) {
		r.holder.charge(r.pool.id, r.at, -unused)
	}
}
