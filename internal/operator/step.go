package operator

// Step is a point of a publication at which a test can kill the publisher or make
// the log fail.
type Step string

// Steps of a publication by StreamClient.
const (
	// StepBeforeRead is before the client reads the stream.
	StepBeforeRead Step = "before-read"
	// StepBeforeAppend is before the client first sends the record.
	StepBeforeAppend Step = "before-append"
	// StepAfterAppend is after the append has succeeded or failed.
	StepAfterAppend Step = "after-append"
	// StepBeforeRetry is before the client sends the same record again.
	StepBeforeRetry Step = "before-repeat"
	// StepAfterConfirm is after the client has read the record back.
	StepAfterConfirm Step = "after-settle"
)

// Steps returns every step in the order in which a publication reaches them.
func Steps() []Step {
	return []Step{StepBeforeRead, StepBeforeAppend, StepAfterAppend, StepBeforeRetry, StepAfterConfirm}
}
