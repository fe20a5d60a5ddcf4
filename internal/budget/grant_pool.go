package budget

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// spendRateWindow is the time constant of the moving average of a team's spend
// rate, which determines how many tokens the holder requests in advance.
const spendRateWindow = time.Second

// roundingTolerance is the difference in tokens below which floating-point sums
// are treated as equal.
const roundingTolerance = 1e-6

// grantPool holds the valid grants of one team at one entry instance.
type grantPool struct {
	id string
	// nextID is the last id given to a request to an owner.
	nextID atomic.Uint64

	mu sync.Mutex
	// grants are sorted by expiry.
	grants []grant
	// debt is the number of tokens that settled requests used beyond their
	// estimates and that have not been deducted from grants yet.
	debt float64
	// spent is the number of tokens spent since it was last reported to an owner.
	spent float64
	// spendRate is the average of the recent spending in tokens per second, as
	// of spendRateTime.
	spendRate     float64
	spendRateTime time.Time

	waiters   []*waiter
	refilling bool
	// bucketEstimates has the last known state of each share's bucket. Only the goroutine
	// that runs Holder.refill uses it.
	bucketEstimates []bucketEstimate
}

// debtPaid is the debt in tokens that a reservation paid off. The caller reports
// it after it has released the lock.
type debtPaid float64

// reserve pays off the debt and then spends tokens from the valid grants. It does
// nothing while other requests are waiting.
func (p *grantPool) reserve(now time.Time, tokens float64) (Reservation, debtPaid, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		return Reservation{}, 0, false
	}
	return p.reserveLocked(now, tokens)
}

func (p *grantPool) reserveLocked(now time.Time, tokens float64) (Reservation, debtPaid, bool) {
	p.dropExpired(now)
	paid := p.payDebt()
	if p.debt > roundingTolerance || p.available() < tokens-roundingTolerance {
		return Reservation{}, paid, false
	}
	r := Reservation{pool: p, tokens: tokens, at: now}
	if len(p.grants) > 0 {
		r.expires = p.grants[0].expires
	}
	r.lastGrant, r.lastTokens = p.deduct(tokens)
	p.spent += tokens
	p.recordSpendRate(now, tokens)
	return r, paid, true
}

// dropExpired removes expired grants. A grant without tokens stays until it
// expires, so that a settlement can return tokens to it.
func (p *grantPool) dropExpired(now time.Time) {
	i := 0
	for i < len(p.grants) && !now.Before(p.grants[i].expires) {
		i++
	}
	if i > 0 {
		p.grants = slices.Delete(p.grants, 0, i)
	}
}

func (p *grantPool) available() float64 {
	sum := 0.0
	for i := range p.grants {
		sum += p.grants[i].tokens
	}
	return sum
}

// deduct removes tokens from the grants, earliest expiry first, and returns the
// last grant used and the tokens taken from it. The caller has checked that the
// grants hold enough, except for rounding.
func (p *grantPool) deduct(tokens float64) (lastGrant uint64, lastTokens float64) {
	for i := range p.grants {
		g := &p.grants[i]
		n := math.Min(g.tokens, tokens)
		if n <= 0 {
			continue
		}
		g.tokens -= n
		tokens -= n
		lastGrant, lastTokens = g.id, n
		if tokens <= 0 {
			break
		}
	}
	return lastGrant, lastTokens
}

func (p *grantPool) payDebt() debtPaid {
	if p.debt <= 0 {
		return 0
	}
	pay := math.Min(p.debt, p.available())
	p.deduct(pay)
	p.debt -= pay
	p.spent += pay
	return debtPaid(pay)
}

func (p *grantPool) recordSpendRate(now time.Time, tokens float64) {
	p.spendRate = p.spendRateAt(now) + tokens/spendRateWindow.Seconds()
	p.spendRateTime = now
}

func (p *grantPool) spendRateAt(now time.Time) float64 {
	if p.spendRate == 0 {
		return 0
	}
	return p.spendRate * math.Exp(-now.Sub(p.spendRateTime).Seconds()/spendRateWindow.Seconds())
}

func (p *grantPool) addDebt(tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.debt += tokens
}

// refund returns unused tokens to a grant. It returns false if the grant has
// expired.
func (p *grantPool) refund(now time.Time, id uint64, tokens float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	for i := range p.grants {
		if p.grants[i].id == id {
			p.grants[i].tokens += tokens
			p.spent -= tokens
			return true
		}
	}
	return false
}

func (p *grantPool) add(g grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, _ := slices.BinarySearchFunc(p.grants, g, func(a, b grant) int { return a.expires.Compare(b.expires) })
	p.grants = slices.Insert(p.grants, i, g)
}

// takePartial removes and returns what is left of the partial grants.
func (p *grantPool) takePartial() []grant {
	var out []grant
	for i := range p.grants {
		g := &p.grants[i]
		if g.partial && g.tokens > 0 {
			out = append(out, *g)
			g.tokens = 0
		}
	}
	return out
}
