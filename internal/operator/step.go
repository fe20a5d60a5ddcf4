package operator

// Step is a point of a publication at which a publisher can be killed or the
// log can fail.
type Step string

// Steps of a publication by StreamClient.
const (
	// StepBeforeRead precedes reading the view.
	StepBeforeRead Step = "before-read"
	// StepBeforeAppend precedes sending the record.
	StepBeforeAppend Step = "before-append"
	// StepAfterAppend follows the answer to the append, or its loss.
	StepAfterAppend Step = "after-append"
	// StepBeforeRetry precedes sending the same record again.
	StepBeforeRetry Step = "before-repeat"
	// StepAfterConfirm follows the verdict of the record.
	StepAfterConfirm Step = "after-settle"
)

// Steps returns every step in the order in which a publication passes them.
func Steps() []Step {
	return []Step{StepBeforeRead, StepBeforeAppend, StepAfterAppend, StepBeforeRetry, StepAfterConfirm}
}
