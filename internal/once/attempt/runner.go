package attempt

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
)

// Step names a point of the agent's part between two effects.
type Step int

// Steps of a dispatch at the agent.
const (
	StepArrived Step = iota
	StepStarted
	StepServed
	StepRecorded
	stepCount
)

// Runner runs dispatched attempts of one agent incarnation.
type Runner struct {
	Table *Table
	// OnStep is called at each step; the proofs stop the agent there. It may be nil.
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

// Run runs the dispatch with serve unless it is a duplicate, fenced or not
// judgeable. An error of serve that says "not run" fences the attempt; any
// other leaves its outcome unknown. A caller's lost connection must not cancel
// ctx, since the call may not be repeated.
func (r *Runner) Run(ctx context.Context, d Dispatch, serve func(context.Context) (once.Result, error)) (once.Result, error) {
	r.reach(StepArrived)
	verdict, earlier := r.Table.Start(d)
	if verdict != AdmissionGranted {
		return refusal(verdict, earlier)
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

func refusal(v Admission, earlier *once.Result) (once.Result, error) {
	switch v {
	case AdmissionDuplicateFinished:
		return *earlier, nil
	case AdmissionDuplicateRunning:
		return once.Result{}, errkind.New(errkind.InProgress, "the attempt is already running")
	case AdmissionFenced:
		return once.Result{}, errkind.New(errkind.Fenced, "the attempt was fenced before it arrived")
	case AdmissionTableFull:
		return once.Result{}, errkind.New(errkind.UpstreamBusy, "the agent has no room for another attempt")
	default:
		return once.Result{}, errkind.New(errkind.OutcomeUnknown, "the agent cannot tell whether the attempt ran")
	}
}
