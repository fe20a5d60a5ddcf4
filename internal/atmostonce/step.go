package atmostonce

// Step names a point in the protocol between two side effects. The fault tests
// kill, pause or disconnect an instance at each of them.
type Step int

// Steps of the client and the writer, in the order in which a call reaches them.
const (
	StepBegin Step = iota
	StepIntentAnswered
	StepBeforeDispatch
	StepAfterDispatch
	StepBeforeResult
	StepAfterResult
	StepBeforeSettle
	StepAfterSettle
	StepBeforeSupersede
	StepBeforeRecordNotRun
	StepWriterLoad
	StepWriterBeforeAppend
	StepWriterAfterAppend
	StepWriterAfterReadBack
	StepWriterBetweenChunks
	stepCount
)

// hooks are set only in tests.
type hooks struct {
	// onStep is called at each step.
	onStep func(Step)
	// Each of the following fields disables one rule. Tests use them to show that
	// the guarantees break without the rule.
	lastIntentWins bool
	ignoreDigest   bool
	ignoreExpiry   bool
}

func (h *hooks) reach(s Step) {
	if h.onStep != nil {
		h.onStep(s)
	}
}
