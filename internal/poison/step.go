package poison

// Step is a point between two externally visible effects. Tests inject faults
// at steps.
type Step int

// Steps of handling a crash.
const (
	StepConnectionLost Step = iota
	StepCrashDecided
	StepBeforeReport
	StepReported
	StepFailureHeld
	StepCrashInView
	stepCount
)

// hooks are for tests; the zero value does nothing.
type hooks struct {
	onStep func(Step)
	// noRefusal and noDelay each switch off one rule, to show that the tests fail
	// without it.
	noRefusal bool
	noDelay   bool
}

func (h *hooks) reach(s Step) {
	if h.onStep != nil {
		h.onStep(s)
	}
}
