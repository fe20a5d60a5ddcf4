package attempt

import "github.com/jacinthbend/jacinthbend/internal/atmostonce"

// trackedAttempt is one attempt that the table has seen and has not evicted yet.
type trackedAttempt struct {
	callID atmostonce.CallID
	state  atmostonce.SettleState
	result *atmostonce.Result
}

func (a *trackedAttempt) resultBytes() int {
	if a.result == nil {
		return 0
	}
	return len(a.result.Body)
}
