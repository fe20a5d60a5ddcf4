package budget

import (
	"slices"
	"time"
)

// enqueue adds w to the queue and reports whether the caller must start
// Holder.refill.
func (p *grantPool) enqueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = append(p.waiters, w)
	start := !p.refilling
	p.refilling = true
	return start
}

// remove takes w out of the queue and reports whether it was still there.
func (p *grantPool) remove(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// demand is the number of tokens that the waiting requests need beyond the valid
// grants.
type demand struct {
	// needs[i] is the number for the first i+1 waiting requests together.
	needs []float64
	// prefetch is the expected spending within GrantTTL, in tokens.
	prefetch float64
	// spent is the number of tokens spent since it was last reported to an owner.
	spent float64
	// firstTokens is the size of the first waiting request.
	firstTokens float64
	// debt is grantPool.debt.
	debt float64
}

// serveWaiters gives tokens to the waiting requests in order until the grants run
// out. It returns true and the demand if requests are still waiting. Otherwise it
// returns false and the partial grants that are left over; the caller must return
// these to their owners and stop.
func (p *grantPool) serveWaiters(now time.Time, ttl time.Duration) (demand, []grant, debtPaid, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var paid debtPaid
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		res, paidNow, ok := p.reserveLocked(now, w.tokens)
		paid += paidNow
		if !ok {
			return p.demand(now, ttl), nil, paid, true
		}
		p.pop(outcome{res: res})
	}
	p.refilling = false
	return demand{}, p.takePartial(), paid, false
}

func (p *grantPool) demand(now time.Time, ttl time.Duration) demand {
	d := demand{prefetch: p.spendRateAt(now) * ttl.Seconds(), spent: p.spent, firstTokens: p.waiters[0].tokens, debt: p.debt}
	p.spent = 0
	sum := p.debt - p.available()
	for _, w := range p.waiters {
		sum += w.tokens
		d.needs = append(d.needs, sum)
	}
	return d
}

// rejectFirst ends the wait of the first request with err.
func (p *grantPool) rejectFirst(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.pop(outcome{err: err})
	}
}

func (p *grantPool) pop(out outcome) {
	w := p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	w.done <- out
}
