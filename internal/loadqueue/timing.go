package loadqueue

import "time"

// LeaderTask names the owner in the hash order of entry instances.
const LeaderTask = "loads"

const (
	// viewBound is the view age beyond which an earlier owner grants nothing.
	viewBound = 3 * time.Second
	// holdTime is how long a request waits at the owner before the agent asks again.
	holdTime = time.Second
	// waiterLife is how long a waiting request is kept without being asked for again.
	waiterLife = 2 * holdTime
	// renewEvery is the time between two reports of an agent that holds slots.
	renewEvery = 500 * time.Millisecond
	// storeTTL is the life of an unrenewed store slot; several renewals may be lost.
	storeTTL = 6 * renewEvery
	// adapterTTL is short because an adapter load takes milliseconds and the
	// next owner must wait for it.
	adapterTTL = 2 * renewEvery
	// deadlineStep groups deadlines, so that value and fair share decide among
	// loads that are about equally urgent.
	deadlineStep = 5 * time.Second
	// shareHalfLife is how fast a team's earlier loads lose their weight.
	shareHalfLife = 10 * time.Minute
	// unreachableAfter is how long an agent tries the owner before it goes to
	// the store directly.
	unreachableAfter = time.Second
	// unreachableTries is the number of tries that must fail in that time; a
	// single lost answer takes as long as holdTime.
	unreachableTries = 3
	// retryOwner is the wait between two tries of an owner that does not answer.
	retryOwner = 100 * time.Millisecond
)

func ttl(c Class) time.Duration {
	if c == Adapter {
		return adapterTTL
	}
	return storeTTL
}
