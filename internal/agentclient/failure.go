package agentclient

import "time"

// failure is what a failed state call tells.
type failure int

const (
	// refused means that the agent's machine answered, for example by refusing the
	// connection, so the engine there may still work.
	refused failure = iota
	// timedOut means that the whole machine does not answer.
	timedOut
	// stoodStill means that this process did not run, which tells nothing of the agent.
	stoodStill
)

// failureOf returns what a state call tells that failed after took, if the agent was
// allowed to wait for wait.
func failureOf(took, wait time.Duration) failure {
	switch {
	case took >= wait+longPollMargin+maxTimerDelay:
		return stoodStill
	case took >= wait:
		return timedOut
	default:
		return refused
	}
}
