package poison

// Step names a point between two effects. The proofs stop an instance there.
type Step int

// Steps of a crash report.
const (
	StepConnectionLost Step = iota
	StepCrashDecided
	StepBeforeReport
	StepReported
	StepFailureHeld
	StepCrashInView
	stepCount
)

// hooks are empty outside tests.
type hooks struct {
	at func(Step)
	// noRefusal and noWithhold switch a rule off, for the negative controls.
	noRefusal  bool
	noWithhold bool
}

func (h *hooks) reach(s Step) {
	if h.at != nil {
		h.at(s)
	}
}
