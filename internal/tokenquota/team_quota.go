package tokenquota

import (
	"slices"
	"time"
)

// loanTTL is how long after the borrow call the borrowed tokens may be spent. The
// request that borrows them spends them as soon as the answer arrives. Tokens that
// are left over serve later requests until the loan expires.
const loanTTL = 250 * time.Millisecond

// teamQuota is one instance's share of a team's allowance, with what has been
// spent of it.
type teamQuota struct {
	// share is how many tokens may be spent in a window; 0 if this instance
	// holds no share. otherHolders are the other instances that hold one.
	share        float64
	otherHolders []string
	// assumedFraction is the fraction of the share that counts as spent at
	// assumedAt, since earlier starts of this instance or previous holders may
	// have spent it.
	assumedFraction float64
	assumedAt       time.Time
	// unread tells that the whole share was assumed to be spent only because the usage of earlier
	// starts had not been read.
	unread bool
	// spentSinceCheckpoint is what was spent since the last checkpoint, in
	// tokens.
	spentSinceCheckpoint float64
	// rateFraction is the fraction of the share that a team within its rate spends in a window.
	rateFraction float64
	// listed tells that the newest checkpoint in the store lists this team, whichever of those that
	// were not confirmed have been written.
	listed bool
	// record is what the last confirmed checkpoint tells of this team, nil if it does not list it.
	record *teamRecord
	// wanted is what was refused only because it would not have been in a record.
	wanted float64
	// lease is that of the instance, witnessed what the newest record tells that the witnesses have
	// confirmed, nil if there is none, and step the fraction of the share that is one step beyond it.
	lease     *witnessLease
	witnessed *teamRecord
	step      float64
	// usageWanted is what was refused only because the witnesses would not have known it.
	usageWanted float64
	// listedSequence is the newest record for the witnesses that tells that a checkpoint lists this
	// team.
	listedSequence uint64
	// amounts counts the amounts recorded in spent so far.
	amounts uint64
	// spent are the amounts spent or lent, in the order in which they were
	// recorded; spentSum is their sum.
	spent    []timedTokens
	spentSum float64
	// borrowed are the amounts borrowed from others, with the time at which
	// they expire.
	borrowed []timedTokens
	// holderShare is the share of each holder.
	holderShare float64
	// contention decides who gets what is left of the share.
	contention contention
}

// timedTokens is a number of tokens with a time.
type timedTokens struct {
	at     time.Time
	tokens float64
	// number is the place of the amount among all of its team.
	number uint64
}

func (q *teamQuota) spend(tokens float64, at time.Time) {
	q.amounts++
	q.spent = append(q.spent, timedTokens{at, tokens, q.amounts})
	q.spentSum += tokens
}

// expire removes the spending that is older than a window, and expired loans.
func (q *teamQuota) expire(window time.Duration, now time.Time) {
	// Loans made to others are recorded at the time they expire, so the times are
	// not in order.
	q.spent = slices.DeleteFunc(q.spent, func(t timedTokens) bool {
		expired := now.Sub(t.at) > window
		if expired {
			q.spentSum -= t.tokens
		}
		return expired
	})
	q.borrowed = slices.DeleteFunc(q.borrowed, func(t timedTokens) bool { return !now.Before(t.at) })
}

func (q *teamQuota) borrowedTokens() float64 {
	sum := 0.0
	for _, t := range q.borrowed {
		sum += t.tokens
	}
	return sum
}

// free is the part of this instance's own share that may be spent now.
func (q *teamQuota) free(window time.Duration, now time.Time) float64 {
	return min(q.checkpointFree(window, now), q.witnessFree(window, now))
}

// checkpointFree is the part of the share that may be spent now as far as the store knows it.
func (q *teamQuota) checkpointFree(window time.Duration, now time.Time) float64 {
	return max(0, q.checkpointLimit(window, now)-q.assumedSpent(window, now)-q.spentSum)
}

// unspent is what is left of the share, recorded or not.
func (q *teamQuota) unspent(window time.Duration, now time.Time) float64 {
	return max(0, q.share-q.assumedSpent(window, now)-q.spentSum)
}

// take spends tokens, borrowed ones first. It spends nothing if there are too
// few.
func (q *teamQuota) take(tokens float64, window time.Duration, now time.Time) bool {
	if q.free(window, now)+q.borrowedTokens() < tokens {
		return false
	}
	for tokens > 0 && len(q.borrowed) > 0 {
		used := min(tokens, q.borrowed[0].tokens)
		tokens -= used
		q.borrowed[0].tokens -= used
		if q.borrowed[0].tokens <= 0 {
			q.borrowed = q.borrowed[:copy(q.borrowed, q.borrowed[1:])]
		}
	}
	if tokens > 0 {
		q.spend(tokens, now)
	}
	return true
}

// wait estimates the time until tokens of this instance's own share are free,
// if nothing else is spent.
func (q *teamQuota) wait(tokens float64, window time.Duration, now time.Time) time.Duration {
	if q.checkpointFree(window, now) >= tokens {
		// Only the witnesses do not know of it.
		return min(window, max(time.Millisecond, q.lease.left()))
	}
	free := q.limit(window, now) - q.assumedSpent(window, now) - q.spentSum
	// Loans made to others are recorded at the time they expire, so the times
	// are not in order.
	var last time.Duration
	for _, t := range q.spent {
		free += t.tokens
		last = max(last, window-now.Sub(t.at))
		if free >= tokens && last > 0 {
			return last
		}
	}
	return window
}
