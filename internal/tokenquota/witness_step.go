package tokenquota

import "time"

const (
	// witnessStep is the fraction of a share that may be spent beyond the newest confirmed record. A
	// start counts it as spent. While the store is out, a start may use what the team's rate needs in
	// a window, at least 0.6 of the share: less 0.08, that is 0.92 of what the team may send at its rate
	// where the two are equal. With 0.1, it would be 0.89.
	witnessStep = 0.08
	// witnessStepTime is the time for which a step lasts at the team's rate at least. Records are made
	// every 0.2 s and confirmed some 10 ms later.
	witnessStepTime = 500 * time.Millisecond
)

// stepFraction returns the fraction of a team's share that is one step.
func (b Bounds) stepFraction(rate, burst float64) float64 {
	allowance := b.allowance(rate, burst)
	if allowance <= 0 {
		return 1
	}
	return min(1, max(witnessStep, rate*witnessStepTime.Seconds()/allowance))
}

// witnessedLimit returns how much may be spent in the window before now: no more than the next start
// counts as spent if it reads the newest confirmed record.
func (q *teamQuota) witnessedLimit(window time.Duration, now time.Time) float64 {
	if q.witnessed == nil {
		return 0
	}
	return q.recordedIn(q.witnessed, window, now) + min(q.witnessed.step, q.step*q.share)
}

// witnessFree is the part of the share that may be spent now as far as the witnesses know it.
func (q *teamQuota) witnessFree(window time.Duration, now time.Time) float64 {
	switch {
	case q.lease.held():
		return 0
	case q.lease.current():
		return max(0, q.witnessedLimit(window, now)-q.assumedSpent(window, now)-q.spentSum)
	}
	return q.share
}

// beyond returns what was spent in the window before now and is not part of a record.
func (q *teamQuota) beyond(r *teamRecord, window time.Duration, now time.Time) float64 {
	return q.assumedSpent(window, now) + q.spentSum - q.recordedSpent(r, window, now)
}
