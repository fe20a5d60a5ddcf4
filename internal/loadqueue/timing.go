package loadqueue

import "time"

// LeaderTask is the task name under which assignment.Leader chooses the owner.
const LeaderTask = "loads"

const (
	// viewBound is the view age above which an owner grants no slots; it equals
	// freshness.ViewBound. An owner whose view lags does not know that it was
	// replaced, so it may still grant slots for this long after a takeover.
	viewBound = 3 * time.Second
	// longPollTimeout is how long the owner holds a request before it answers that
	// no slot is free yet and the agent asks again.
	longPollTimeout = time.Second
	// waiterTTL is how long the owner keeps a waiting request after the agent last
	// sent it.
	waiterTTL = 2 * longPollTimeout
	// renewInterval is the time between two renewals by an agent that holds slots.
	renewInterval = 500 * time.Millisecond
	// storeTTL is the lease of a store slot. It allows for several lost renewals.
	storeTTL = 6 * renewInterval
	// adapterTTL is the lease of an adapter slot. It is short because an adapter
	// load takes milliseconds and a new owner must wait until the lease expires.
	adapterTTL = 2 * renewInterval
	// deadlineStep is the granularity of deadlines in Candidate.Before, so that
	// value and team usage decide among loads that are about equally urgent.
	deadlineStep = 5 * time.Second
	// usageHalfLife is the minimum time between two halvings of teamUsage.
	usageHalfLife = 10 * time.Minute
	// unreachableAfter is how long requests to the owner must fail before an agent
	// loads without a slot.
	unreachableAfter = time.Second
	// unreachableTries is how many requests must also have failed in that time. A
	// single lost answer takes as long as longPollTimeout, so time alone proves
	// little.
	unreachableTries = 3
	// ownerRetryInterval is the delay between two requests to an owner that does
	// not answer.
	ownerRetryInterval = 100 * time.Millisecond
)

func leaseTTL(c Class) time.Duration {
	if c == Adapter {
		return adapterTTL
	}
	return storeTTL
}
