package attempt

import "github.com/jacinthbend/jacinthbend/internal/once"

// trackedAttempt is one attempt that the table has seen.
type trackedAttempt struct {
	identity once.CallID
	state    once.SettleState
	result   *once.Result
}

func (e *trackedAttempt) resultBytes() int {
	if e.result == nil {
		return 0
	}
	return len(e.result.Body)
}
