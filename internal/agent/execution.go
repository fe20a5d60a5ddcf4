package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/once/attempt"
	"github.com/jacinthbend/jacinthbend/internal/poison"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// maxEvictions bounds how often one attempt reloads its checkpoint after the
// engine evicted it without notice (F5).
const maxEvictions = 2

// execution is one admitted attempt.
type execution struct {
	agent       *Agent
	incarnation *Incarnation
	order       work.AttemptRequest
	answer      *work.ResponseWriter
	partsSent   int
}

// execute runs the attempt and returns the tokens that the upstream counted.
func (x *execution) execute(ctx context.Context) (usage, error) {
	switch {
	case x.order.Checkpoint != "":
		return x.runCompletion(ctx)
	case x.order.Once:
		return usage{}, x.callOnce(ctx)
	default:
		w, err := x.call(ctx)
		if err != nil {
			return usage{}, err
		}
		return usage{}, x.answer.WholeResponse(w)
	}
}

// runCompletion runs a request for a model. If the engine has evicted the
// checkpoint, it answers model_not_found and nothing has run, so runCompletion
// loads the checkpoint again and retries.
func (x *execution) runCompletion(ctx context.Context) (usage, error) {
	for evictions := 0; ; evictions++ {
		u, err := x.runLoaded(ctx)
		if !errkind.Is(err, errkind.ModelNotFound) || x.partsSent > 0 {
			return u, err
		}
		if evictions == maxEvictions {
			return u, errkind.Wrap(errkind.LoadFailed, "the engine repeatedly evicted "+x.order.Checkpoint+" before the request ran", err)
		}
		if err := x.incarnation.Residency.Refresh(ctx); err != nil {
			return u, errkind.Wrap(errkind.UpstreamUnavailable, "the engine did not report its loaded checkpoints", err)
		}
	}
}

func (x *execution) runLoaded(ctx context.Context) (usage, error) {
	deadline, _ := ctx.Deadline()
	release, err := x.incarnation.Residency.Acquire(ctx, x.order.Checkpoint, x.order.Team, deadline)
	if err != nil {
		return usage{}, err
	}
	defer release()
	return x.runTracked(ctx)
}

// runTracked runs the request and records it with the crash tracker. If the
// connection to the engine breaks, it waits until the reporter has determined
// whether the engine crashed, so that the error has kind upstream_crashed in
// that case.
func (x *execution) runTracked(ctx context.Context) (usage, error) {
	inc, d := x.incarnation, poison.Digest(x.order.Digest)
	if err := inc.Tracker.Start(d); err != nil {
		return usage{}, err
	}
	before := inc.Reporter.BootID()
	u, err := x.generate(ctx)
	inc.Reporter.End(inc.Context, d, err == nil)
	if err == nil || ctx.Err() != nil || !upstreamBroke(errkind.From(err)) {
		return u, err
	}
	inc.Reporter.ConnectionLost(inc.Context)
	if inc.Reporter.BootID() != before {
		return u, errkind.Wrap(errkind.UpstreamCrashed, "the engine crashed while it ran the request", err)
	}
	return u, err
}

func (x *execution) generate(ctx context.Context) (usage, error) {
	if x.order.Stream {
		return x.stream(ctx)
	}
	w, err := x.call(ctx)
	if err != nil {
		return usage{}, err
	}
	x.partsSent++
	return usageOf(w.Body), x.answer.WholeResponse(w)
}

func (x *execution) stream(ctx context.Context) (usage, error) {
	var counter usageCounter
	err := x.agent.Upstream.Stream(ctx, x.request(ctx), func(data []byte) error {
		counter.add(data)
		x.partsSent++
		return x.answer.Data(data)
	})
	var refused *engine.ResponseError
	if errors.As(err, &refused) {
		x.partsSent++
		return usage{}, x.answer.WholeResponse(work.WholeResponse(refused.Response))
	}
	return counter.usage(), err
}

// call returns the upstream's unstreamed answer. If the engine answers a model
// request with an error in the format of internal/errkind, call returns that
// error instead.
func (x *execution) call(ctx context.Context) (work.WholeResponse, error) {
	w, err := x.agent.Upstream.Do(ctx, x.request(ctx))
	if err != nil {
		return work.WholeResponse{}, err
	}
	if refusal, ok := engine.DecodeError(w); ok && x.order.Checkpoint != "" {
		return work.WholeResponse{}, refusal
	}
	return work.WholeResponse{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, nil
}

func (x *execution) request(ctx context.Context) engine.Request {
	r := engine.Request{
		ID:             x.order.Attempt,
		Method:         x.order.Method,
		Path:           x.order.Path,
		ContentType:    x.order.ContentType,
		Body:           x.order.Body,
		IdempotencyKey: x.order.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok && !x.order.Stream {
		r.Timeout = time.Until(deadline)
	}
	return r
}

// callOnce runs an at-most-once call, unless the attempt table has already seen
// or fenced the attempt.
func (x *execution) callOnce(ctx context.Context) error {
	runner := attempt.Runner{Table: x.incarnation.Attempts}
	result, err := runner.Run(ctx, newDispatch(x.incarnation, x.order), func(ctx context.Context) (once.Result, error) {
		w, err := x.call(ctx)
		return once.Result{Status: w.Status, ContentType: w.ContentType, Body: w.Body}, err
	})
	if err != nil {
		return err
	}
	return x.answer.WholeResponse(work.WholeResponse{Status: result.Status, ContentType: result.ContentType, Body: result.Body})
}

func newDispatch(inc *Incarnation, o work.AttemptRequest) attempt.Dispatch {
	return attempt.Dispatch{
		CallID:  once.CallID{Team: o.Team, Key: o.IdempotencyKey},
		Attempt: o.Attempt,
		Target:  record.InstanceRef{Instance: inc.Self.Instance, Incarnation: o.Incarnation},
	}
}
