package engineagent

import (
	"time"

	"golang.org/x/time/rate"
)

// ratePermitBurst is for how long unused permits are kept, in seconds of the limit. The
// engine names a rate because it cannot take a burst.
const ratePermitBurst = 0.25

// ratePermits grants as many permits as an engine takes requests. All entry instances that
// reach the agent take them, so the limit holds for these together.
type ratePermits struct {
	limiter *rate.Limiter
	limit   float64
}

// take takes the next permit if it is free within maxWait, and reports whether it did. The
// delay is when the next one is free. limit is in requests a second.
func (r *ratePermits) take(now time.Time, limit float64, maxWait time.Duration) (delay time.Duration, ok bool) {
	burst := max(1, int(ratePermitBurst*limit))
	switch {
	case r.limiter == nil:
		r.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		// What was sent before the limit was known, or permitted by an earlier start, counts.
		r.limiter.AllowN(now, burst)
	case r.limit != limit:
		r.limiter.SetLimitAt(now, rate.Limit(limit))
		r.limiter.SetBurstAt(now, burst)
	}
	r.limit = limit
	reservation := r.limiter.ReserveN(now, 1)
	delay = reservation.DelayFrom(now)
	if delay > maxWait {
		reservation.CancelAt(now)
		return delay, false
	}
	return delay, true
}

// reset forgets the limit once the engine names none.
func (r *ratePermits) reset() { *r = ratePermits{} }
