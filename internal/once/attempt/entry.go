package attempt

import "github.com/jacinthbend/jacinthbend/internal/once"

// entry is one attempt that the table has seen.
type entry struct {
	identity once.CallID
	state    once.SettleState
	result   *once.Result
}

func (e *entry) bytes() int {
	if e.result == nil {
		return 0
	}
	return len(e.result.Body)
}
