package tokenquota

import "time"

// teamRecord is what a checkpoint, or a record for the witnesses, tells of a team's spending. The next
// start counts it as spent, and a step beside it.
type teamRecord struct {
	// amounts is the number of the last amount that it contains.
	amounts uint64
	// assumedAt is the time of the assumption that it contains; zero if there is none.
	assumedAt time.Time
	// ahead is what it counts as spent although it had not been spent yet, in tokens, and aheadAt
	// when that was asked for.
	ahead   float64
	aheadAt time.Time
	// step is one witnessStep in tokens, in a record for the witnesses.
	step float64
}

// aheadTTL is how long after the request for it a part may be spent that was recorded ahead. Each
// checkpoint in this time records it again, since its answer may be lost.
const aheadTTL = time.Second

// left returns what may still be spent of the part recorded ahead.
func (r *teamRecord) left(spent []timedTokens, now time.Time) float64 {
	if r == nil || now.Sub(r.aheadAt) > aheadTTL {
		return 0
	}
	left := r.ahead
	for _, t := range spent {
		if t.number > r.amounts {
			left -= t.tokens
		}
	}
	return max(0, left)
}

// recordedSpent returns the tokens spent in the window before now that a record has.
func (q *teamQuota) recordedSpent(r *teamRecord, window time.Duration, now time.Time) float64 {
	sum := 0.0
	for _, t := range q.spent {
		if t.number <= r.amounts {
			sum += t.tokens
		}
	}
	if r.assumedAt.Equal(q.assumedAt) {
		sum += q.assumedSpent(window, now)
	}
	return sum
}

// recordedIn returns the tokens that the next start will read from a record as spent in the window
// before now.
func (q *teamQuota) recordedIn(r *teamRecord, window time.Duration, now time.Time) float64 {
	if r == nil {
		return 0
	}
	sum := q.recordedSpent(r, window, now)
	if now.Sub(r.aheadAt) <= aheadTTL {
		sum += r.ahead
	}
	return sum
}

// limit returns how much may be spent in the window before now: no more than the next start counts
// as spent, whether it asks the store or the witnesses.
func (q *teamQuota) limit(window time.Duration, now time.Time) float64 {
	limit := q.checkpointLimit(window, now)
	if q.lease.held() {
		return min(limit, q.assumedSpent(window, now)+q.spentSum)
	}
	if q.lease.current() {
		return min(limit, q.witnessedLimit(window, now))
	}
	return limit
}

// checkpointLimit returns how much may be spent in the window before now: no more than the next start
// counts as spent if the store takes no further checkpoint. Otherwise a start would give out again what
// the one before it gave out in an outage of the store.
func (q *teamQuota) checkpointLimit(window time.Duration, now time.Time) float64 {
	return min(q.share, max(q.unrecorded(q.listed)*q.share, q.recordedIn(q.record, window, now)+checkpointStep*q.share))
}

// unrecordedFraction is the fraction of a share that may be spent in a window without a record of it.
// It is below what a large rate needs: a start counts it as spent for each team.
const unrecordedFraction = checkpointThreshold + checkpointStep

// unrecorded returns the fraction of the share that may be spent in a window without a record of it.
// For a team that the last checkpoint lists, it is enough for its rate, so that an outage of the store
// costs a busy team only its burst.
func (q *teamQuota) unrecorded(listed bool) float64 {
	if listed {
		return max(unrecordedFraction, q.rateFraction)
	}
	return unrecordedFraction
}

// rateFraction returns the fraction of a share that a team within its rate spends in a window. The
// second margin is for requests, which count as a whole at both ends of the window.
func (b Bounds) rateFraction(rate, burst float64) float64 {
	allowance := b.allowance(rate, burst)
	if allowance <= 0 {
		return 1
	}
	return min(1, rate*(b.Window+2*windowMargin).Seconds()/allowance)
}
