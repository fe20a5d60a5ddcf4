package attempt

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// Step names a point in the handling of a dispatch between two side effects.
type Step int

// Steps of a dispatch at the agent.
const (
	StepArrived Step = iota
	StepStarted
	StepServed
	StepRecorded
	stepCount
)

// Runner runs the attempts dispatched to one agent incarnation.
type Runner struct {
	Table *Table
	// OnStep, if set, is called at each step; the fault tests stop the agent there.
	OnStep func(Step)
}

// Steps returns the steps of a Runner.
func Steps() []Step {
	out := make([]Step, 0, stepCount)
	for s := range stepCount {
		out = append(out, s)
	}
	return out
}

// Run calls serve for the dispatch, unless the table does not admit the attempt:
// it is a duplicate or fenced, it may have run already, or too many attempts are
// running. If serve returns an error that says "not run", the attempt is fenced;
// after any other error its outcome is unknown. ctx must not end when the
// connection to the entry instance breaks: the call cannot be repeated, so its
// outcome has to be recorded.
func (r *Runner) Run(ctx context.Context, d Dispatch, serve func(context.Context) (atmostonce.Result, error)) (atmostonce.Result, error) {
	r.reach(StepArrived)
	admission, earlier := r.Table.Start(d)
	if admission != AdmissionGranted {
		return answerWithoutRun(admission, earlier)
	}
	r.reach(StepStarted)
	result, err := serve(ctx)
	r.reach(StepServed)
	switch {
	case err == nil:
		r.Table.Finish(d.Attempt, result)
	case errkind.From(err).Ran == errkind.RanNo:
		r.Table.MarkNotRun(d.Attempt)
	default:
		r.Table.MarkUnknown(d.Attempt)
	}
	r.reach(StepRecorded)
	return result, err
}

func (r *Runner) reach(s Step) {
	if r.OnStep != nil {
		r.OnStep(s)
	}
}

func answerWithoutRun(a Admission, earlier *atmostonce.Result) (atmostonce.Result, error) {
	switch a {
	case AdmissionDuplicateFinished:
		return *earlier, nil
	case AdmissionDuplicateRunning:
		return atmostonce.Result{}, errkind.New(errkind.InProgress, "the attempt is already running")
	case AdmissionFenced:
		return atmostonce.Result{}, errkind.New(errkind.Fenced, "the attempt was fenced before it arrived")
	case AdmissionTableFull:
		return atmostonce.Result{}, errkind.New(errkind.UpstreamBusy, "the agent already runs the maximum number of attempts")
	default:
		return atmostonce.Result{}, errkind.New(errkind.OutcomeUnknown, "the agent cannot tell whether the attempt ran")
	}
}
