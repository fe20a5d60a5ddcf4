package attempt

import "github.com/jacinthbend/jacinthbend/internal/once"

// trackedAttempt is one attempt that the table has seen and has not evicted yet.
type trackedAttempt struct {
	callID once.CallID
	state  once.SettleState
	result *once.Result
}

func (a *trackedAttempt) resultBytes() int {
	if a.result == nil {
		return 0
	}
	return len(a.result.Body)
}
