package atmostonce

// Phase is the stage of a call.
type Phase string

// Phases of a call.
const (
	// PhaseRunning: the current attempt may have been dispatched and may be running.
	PhaseRunning Phase = "running"
	// PhaseFinished: the attempt completed and its result is recorded.
	PhaseFinished Phase = "finished"
	// PhaseNotRun: every attempt so far is fenced; the next intent starts a new one.
	PhaseNotRun Phase = "not_run"
)
