package tokenquota

import "time"

// loanLife is how long borrowed tokens may be used. A request that borrows
// waits for the answer and spends at once; the rest is for those after it.
const loanLife = 250 * time.Millisecond

// account is one instance's part of a team's allowance.
type account struct {
	// share is what may be spent in a window, in tokens; 0 if this instance holds
	// no part. others are the other holders.
	share  float64
	others []string
	// assumed is the part of the share that earlier starts of the instance may
	// have spent until assumedAt.
	assumed   float64
	assumedAt time.Time
	// sinceCheckpoint was spent after the last checkpoint.
	sinceCheckpoint float64
	// spent are what was spent or lent, oldest first; spentSum is their sum.
	spent    []entry
	spentSum float64
	// borrowed are tokens of others with the time at which they lapse.
	borrowed []entry
}

// entry is an amount with its time.
type entry struct {
	at     time.Time
	tokens float64
}

func (a *account) spend(tokens float64, at time.Time) {
	a.spent = append(a.spent, entry{at, tokens})
	a.spentSum += tokens
}

// trim forgets what is older than a window and loans that have lapsed.
func (a *account) trim(window time.Duration, now time.Time) {
	i := 0
	for i < len(a.spent) && now.Sub(a.spent[i].at) > window {
		a.spentSum -= a.spent[i].tokens
		i++
	}
	a.spent = a.spent[:copy(a.spent, a.spent[i:])]
	i = 0
	for i < len(a.borrowed) && !now.Before(a.borrowed[i].at) {
		i++
	}
	a.borrowed = a.borrowed[:copy(a.borrowed, a.borrowed[i:])]
}

func (a *account) loans() float64 {
	sum := 0.0
	for _, b := range a.borrowed {
		sum += b.tokens
	}
	return sum
}

// free is what may be spent now of the own share.
func (a *account) free(window time.Duration, now time.Time) float64 {
	return max(0, a.share-a.assumedNow(window, now)-a.spentSum)
}

// take spends tokens, borrowed ones first.
func (a *account) take(tokens float64, window time.Duration, now time.Time) bool {
	if a.free(window, now)+a.loans() < tokens {
		return false
	}
	for tokens > 0 && len(a.borrowed) > 0 {
		used := min(tokens, a.borrowed[0].tokens)
		tokens -= used
		a.borrowed[0].tokens -= used
		if a.borrowed[0].tokens <= 0 {
			a.borrowed = a.borrowed[:copy(a.borrowed, a.borrowed[1:])]
		}
	}
	if tokens > 0 {
		a.spend(tokens, now)
	}
	return true
}

// wait estimates when tokens of the own share are free if nothing else is spent.
func (a *account) wait(tokens float64, window time.Duration, now time.Time) time.Duration {
	free := a.share - a.assumedNow(window, now) - a.spentSum
	// A loan counts from the end of its life, so the times are not in order.
	var last time.Duration
	for _, e := range a.spent {
		free += e.tokens
		last = max(last, window-now.Sub(e.at))
		if free >= tokens && last > 0 {
			return last
		}
	}
	return window
}
